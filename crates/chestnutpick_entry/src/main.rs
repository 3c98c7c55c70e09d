//! Entry point of `chestnutpick-entry`.

fn main() {}
