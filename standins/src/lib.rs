//! Small stand-ins for what the platform provides; used by tests and the demo only.
