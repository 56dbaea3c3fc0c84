//! A whole small deployment on loopback.

fn main() {}
