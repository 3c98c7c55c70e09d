//! Entry point of `chestnutpick-agent`.

fn main() {}
