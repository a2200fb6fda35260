//! Runs the tool as a process and checks its output, exit status and calls.

mod workdir;

mod fake_entry;
mod fake_log;

mod test_audit;
mod test_cancel;
mod test_config_change;
mod test_config_check;
mod test_config_sources;
mod test_fetch;
mod test_help;
mod test_load;
mod test_status;
mod test_submit;
mod test_token;
mod test_zone;
