//! Deterministic measurements over the pure decision modules.

fn main() {}
