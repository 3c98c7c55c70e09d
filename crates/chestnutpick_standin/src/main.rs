//! Entry point of `chestnutpick-standin`.

fn main() {}
