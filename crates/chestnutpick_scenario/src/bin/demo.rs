//! Entry point of `chestnutpick-demo`.

fn main() {}
