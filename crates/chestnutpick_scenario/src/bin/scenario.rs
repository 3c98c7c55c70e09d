//! Entry point of `chestnutpick-scenario`.

fn main() {}
