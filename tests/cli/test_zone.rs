//! Tests of `zone`.

use bulrushtiller::codes;
use bulrushtiller_standins::log_service;

use super::fake_entry;
use super::fake_log;
use super::workdir;

async fn zone(
    dir: &workdir::Workdir,
    log: &log_service::LogService,
    args: &[&str],
) -> workdir::Run {
    let address = log.address().to_string();
    dir.run_async(&[&["zone"], args, &["--log", &address]].concat())
        .await
}

#[actix_rt::test]
async fn out_and_in_write_the_file_of_the_zone() {
    let (dir, log) = (workdir::Workdir::new(), fake_log::start());

    let out = zone(&dir, &log, &["out", "Caxias", "--no-wait"]).await;
    let list_out = zone(&dir, &log, &["list"]).await;
    let back = zone(&dir, &log, &["in", "Caxias", "--no-wait"]).await;
    let list_in = zone(&dir, &log, &["list"]).await;

    assert!(
        out.stdout
            .starts_with("99-zone-caxias.toml: accepted at revision 0"),
        "{out:?}"
    );
    assert!(list_out.stdout.contains("Caxias  out"), "{list_out:?}");
    assert_eq!(back.status, 0, "{back:?}");
    assert!(list_in.stdout.contains("Caxias  in"), "{list_in:?}");
}

/// Guards against a success while one process has not received the change: the command must wait,
/// then fail and name the process.
#[actix_rt::test]
async fn process_without_the_change_is_reported() {
    let (dir, log) = (workdir::Workdir::new(), fake_log::start());
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let entry = fake_entry::FakeEntry::start("e1", behaviour);
    for revision in 0..7 {
        let run = zone(&dir, &log, &["out", "Caxias", "--no-wait"]).await;
        assert!(
            run.stdout.contains(&format!("revision {revision}")),
            "{run:?}"
        );
    }

    let address = entry.address();
    let args = ["out", "Caxias", "--entries", &address, "--limit-ms", "300"];
    let run = zone(&dir, &log, &args).await;

    // The fake entry reports revision 7 for itself and 6 for its runner.
    assert_eq!(run.status, 7, "{run:?}");
    assert!(run.stdout.contains("accepted at revision 7"), "{run:?}");
    assert!(
        run.stdout
            .contains("not in force at runner-1 (silent): revision 6"),
        "{run:?}"
    );
    assert!(!run.stdout.contains("not in force at e1"), "{run:?}");
}

/// Guards against a success without effect: a file with a later name keeps the zone in service,
/// and an operator who reads "accepted" would send people into the zone.
#[actix_rt::test]
async fn change_without_effect_is_reported() {
    let (dir, log) = (workdir::Workdir::new(), fake_log::start());
    let address = log.address().to_string();
    let later = dir.create("99-zz.toml", "[zones.Caxias]\nout = false\n");
    dir.run_async(&["config", "put", later.to_str().unwrap(), "--log", &address])
        .await;

    let run = zone(&dir, &log, &["out", "Caxias", "--no-wait"]).await;

    assert_eq!(run.status, 6, "{run:?}");
    assert!(
        run.stderr.contains("a file with a later name overrides it"),
        "{run:?}"
    );
}

/// Guards against silently bringing a zone back into service: zones whose names differ only in
/// case share a file, and writing it for one would drop the other.
#[actix_rt::test]
async fn file_about_another_zone_is_not_replaced() {
    let (dir, log) = (workdir::Workdir::new(), fake_log::start());
    zone(&dir, &log, &["out", "Caxias", "--no-wait"]).await;

    let run = zone(&dir, &log, &["out", "CAXIAS", "--no-wait"]).await;

    assert_eq!(run.status, 6, "{run:?}");
    assert!(
        run.stderr.contains("is about the availability zone Caxias"),
        "{run:?}"
    );
}

#[actix_rt::test]
async fn sync_with_keep_zones_keeps_zones_out() {
    let (dir, log) = (workdir::Workdir::new(), fake_log::start());
    let address = log.address().to_string();
    dir.create("folder/10-a.toml", "[policy]\nramp_ms = 2000\n");
    zone(&dir, &log, &["out", "Caxias", "--no-wait"]).await;

    let sync = ["config", "sync", "folder", "--log", &address];
    dir.run_async(&[&sync[..], &["--keep-zones"]].concat())
        .await;
    let kept = zone(&dir, &log, &["list"]).await;
    dir.run_async(&sync).await;
    let dropped = zone(&dir, &log, &["list"]).await;

    assert!(kept.stdout.contains("Caxias  out"), "{kept:?}");
    assert!(!dropped.stdout.contains("Caxias"), "{dropped:?}");
}

/// Guards against a mistyped zone going unnoticed: the change is accepted and in force, but the
/// intended zone stays in service, so the tool must print a warning.
#[actix_rt::test]
async fn zone_without_any_process_is_reported() {
    let (dir, log) = (workdir::Workdir::new(), fake_log::start());
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let entry = fake_entry::FakeEntry::start("e1", behaviour);
    let address = entry.address();

    let rest = ["--no-wait", "--entries", &address];
    let mistyped = zone(&dir, &log, &[&["out", "Caxais"], &rest[..]].concat()).await;
    let meant = zone(&dir, &log, &[&["out", "Caxias"], &rest[..]].concat()).await;

    let warning = "no process is in an availability zone 'Caxais'";
    assert!(mistyped.stderr.contains(warning), "{mistyped:?}");
    assert_eq!((mistyped.status, meant.status), (0, 0), "{mistyped:?}");
    assert_eq!(meant.stderr, "", "{meant:?}");
}

/// Guards against a premature success when a script repeats a `sync` that did not come into
/// force everywhere in time: the folder on the log is already equal, but the repeat must still
/// wait for all processes.
#[actix_rt::test]
async fn sync_waits_without_any_change() {
    let (dir, log) = (workdir::Workdir::new(), fake_log::start());
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let entry = fake_entry::FakeEntry::start("e1", behaviour);
    let (log_address, address) = (log.address().to_string(), entry.address());
    for _revision in 0..7 {
        zone(&dir, &log, &["out", "Caxias", "--no-wait"]).await;
    }
    dir.create("folder/10-a.toml", "[policy]\nramp_ms = 2000\n");
    let at = ["--log", &log_address, "--entries", &address];
    let rest = ["--keep-zones", "--wait", "--limit-ms", "300"];
    let args = [&["config", "sync", "folder"], &at[..], &rest].concat();

    let first = dir.run_async(&args).await;
    let repeat = dir.run_async(&args).await;

    // The fake entry reports revision 7 for itself and 6 for its runner.
    let warning = "not in force at runner-1 (silent): revision 6";
    assert!(first.stdout.contains("accepted at revision 7"), "{first:?}");
    assert!(first.stdout.contains(warning), "{first:?}");
    assert!(repeat.stderr.contains("is already equal"), "{repeat:?}");
    assert!(repeat.stdout.contains(warning), "{repeat:?}");
    assert_eq!((first.status, repeat.status), (7, 7), "{repeat:?}");
}
