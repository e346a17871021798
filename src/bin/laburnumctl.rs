//! The operator's client.

fn main() {}
