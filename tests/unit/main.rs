//! Tests of the pure modules.
