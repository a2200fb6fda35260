//! The tool as a process: its output, its exit status, and what it calls.

mod workdir;

mod fake_entry;
mod fake_log;

mod test_audit;
mod test_cancel;
mod test_config_change;
mod test_config_check;
mod test_fetch;
mod test_help;
mod test_load;
mod test_settings;
mod test_status;
mod test_submit;
mod test_token;
mod test_zone;
