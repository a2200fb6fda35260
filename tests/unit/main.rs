//! Tests of the pure modules.

mod settings;
