//! `zone`.

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
    dir.run_beside(&[&["zone"], args, &["--log", &address]].concat())
        .await
}

#[actix_rt::test]
async fn out_and_in_write_the_zones_file() {
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

/// An operator takes a zone out at short notice and one process does not learn of it.
/// The command must not end as if all were well: it waits, and names who has not.
#[actix_rt::test]
async fn who_does_not_have_it_is_named() {
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

    // The fake entry says that it has revision 7 and that its runner has 6.
    assert_eq!(run.status, 7, "{run:?}");
    assert!(run.stdout.contains("accepted at revision 7"), "{run:?}");
    assert!(
        run.stdout
            .contains("not in force at runner-1 (silent): revision 6"),
        "{run:?}"
    );
    assert!(!run.stdout.contains("not in force at e1"), "{run:?}");
}

/// A file with a later name keeps the zone in service. The change is accepted and has no
/// effect, and the operator, who sees "accepted", would send people into the zone.
#[actix_rt::test]
async fn a_change_without_effect_is_told() {
    let (dir, log) = (workdir::Workdir::new(), fake_log::start());
    let address = log.address().to_string();
    let later = dir.create("99-zz.toml", "[zones.Caxias]\nout = false\n");
    dir.run_beside(&["config", "put", later.to_str().unwrap(), "--log", &address])
        .await;

    let run = zone(&dir, &log, &["out", "Caxias", "--no-wait"]).await;

    assert_eq!(run.status, 6, "{run:?}");
    assert!(
        run.stderr
            .contains("a file with a later name says otherwise"),
        "{run:?}"
    );
}

/// Two zones whose names differ in case only have the same file. To write it for one
/// would bring the other back into service without a word.
#[actix_rt::test]
async fn a_file_about_another_zone_is_left_alone() {
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
async fn sync_can_keep_zones_out() {
    let (dir, log) = (workdir::Workdir::new(), fake_log::start());
    let address = log.address().to_string();
    dir.create("folder/10-a.toml", "[policy]\nramp_ms = 2000\n");
    zone(&dir, &log, &["out", "Caxias", "--no-wait"]).await;

    let sync = ["config", "sync", "folder", "--log", &address];
    dir.run_beside(&[&sync[..], &["--keep-zones"]].concat())
        .await;
    let kept = zone(&dir, &log, &["list"]).await;
    dir.run_beside(&sync).await;
    let dropped = zone(&dir, &log, &["list"]).await;

    assert!(kept.stdout.contains("Caxias  out"), "{kept:?}");
    assert!(!dropped.stdout.contains("Caxias"), "{dropped:?}");
}

/// An operator in a hurry mistypes the zone. The change is accepted and in force, and
/// the zone that was meant goes on; only the tool can tell.
#[actix_rt::test]
async fn a_zone_without_any_process_is_told() {
    let (dir, log) = (workdir::Workdir::new(), fake_log::start());
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let entry = fake_entry::FakeEntry::start("e1", behaviour);
    let address = entry.address();

    let rest = ["--no-wait", "--entries", &address];
    let mistyped = zone(&dir, &log, &[&["out", "Caxais"], &rest[..]].concat()).await;
    let meant = zone(&dir, &log, &[&["out", "Caxias"], &rest[..]].concat()).await;

    let told = "no process is in an availability zone 'Caxais'";
    assert!(mistyped.stderr.contains(told), "{mistyped:?}");
    assert_eq!((mistyped.status, meant.status), (0, 0), "{mistyped:?}");
    assert_eq!(meant.stderr, "", "{meant:?}");
}

/// A `sync` is not in force everywhere in time, and the operator's script repeats it. By
/// then the folder on the log is equal; the repeat must go on waiting, or the script
/// believes that all processes have it.
#[actix_rt::test]
async fn sync_waits_also_when_nothing_is_left_to_change() {
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

    let first = dir.run_beside(&args).await;
    let repeat = dir.run_beside(&args).await;

    // The fake entry says that it has revision 7 and that its runner has 6.
    let told = "not in force at runner-1 (silent): revision 6";
    assert!(first.stdout.contains("accepted at revision 7"), "{first:?}");
    assert!(first.stdout.contains(told), "{first:?}");
    assert!(repeat.stderr.contains("is equal already"), "{repeat:?}");
    assert!(repeat.stdout.contains(told), "{repeat:?}");
    assert_eq!((first.status, repeat.status), (7, 7), "{repeat:?}");
}
