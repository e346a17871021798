//! The control daemon.

fn main() {}
