//! The operators' and callers' tool.

fn main() {}
