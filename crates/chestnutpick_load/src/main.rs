//! Entry point of `chestnutpick-load`.

fn main() {}
