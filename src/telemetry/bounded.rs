//! Lines to the standard output that never make the writer wait.
//!
//! A reader that stalls, or a burst of decisions, must not slow requests down: lines go
//! to a queue that a thread of its own empties, and what is over the bounds is counted
//! and told in a line.

use std::io::Write as _;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use log4rs::append;

use crate::clock;

/// Lines that may wait to be written: some seconds of a busy process, 1 MiB in all.
const MOST_WAITING: usize = 4_096;

/// Lines in each second; a busy entry writes four for each of 60 jobs.
const MOST_PER_SECOND: u32 = 600;

/// Pause of the writing thread, so that a burst costs one write.
const GATHER: time::Duration = time::Duration::from_millis(100);

/// Longest wait for the writing thread at the process's end.
const FLUSH: time::Duration = time::Duration::from_millis(500);

/// The appender.
#[derive(Debug)]
pub struct Appender {
    tx: mpsc::SyncSender<Message>,
    dropped: sync::Arc<atomic::AtomicU64>,
    budget: sync::Mutex<Budget>,
}

#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    Flush(mpsc::SyncSender<()>),
}

/// Counts the lines of the second that runs.
#[derive(Debug)]
struct Budget {
    since: time::Instant,
    lines: u32,
}

impl Budget {
    fn take(&mut self, now: time::Instant) -> bool {
        if now.duration_since(self.since) >= time::Duration::from_secs(1) {
            self.since = now;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= MOST_PER_SECOND
    }
}

impl Appender {
    /// Starts the writing thread.
    pub fn start() -> std::io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(MOST_WAITING);
        let dropped = sync::Arc::new(atomic::AtomicU64::new(0));
        let counted = sync::Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&rx, &counted))?;
        Ok(Self {
            tx,
            dropped,
            budget: sync::Mutex::new(Budget {
                since: time::Instant::now(),
                lines: 0,
            }),
        })
    }

    fn is_over_budget(&self, level: log::Level) -> bool {
        // Errors are rare and are what an operator looks for first.
        if level == log::Level::Error {
            return false;
        }
        let budget = self.budget.lock();
        budget.is_ok_and(|mut budget| !budget.take(time::Instant::now()))
    }
}

impl append::Append for Appender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        if self.is_over_budget(record.level()) {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
            return Ok(());
        }
        if self.tx.try_send(Message::Line(line(record)?)).is_err() {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let (tx, rx) = mpsc::sync_channel(1);
        let is_asked = self.tx.try_send(Message::Flush(tx)).is_ok();
        if is_asked && rx.recv_timeout(FLUSH).is_err() {
            // The writing thread hangs; the process must end all the same.
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

/// One line: the time, the level, the event's fields, and the words if there are any.
///
/// The library's own encoder adds file, line, module and thread, five times the bytes.
fn line(record: &log::Record<'_>) -> anyhow::Result<Vec<u8>> {
    let mut fields = Fields(serde_json::Map::new());
    fields
        .0
        .insert("time_ms".to_owned(), clock::unix_ms().into());
    fields
        .0
        .insert("level".to_owned(), record.level().as_str().into());
    record.key_values().visit(&mut fields)?;
    let text = record.args().to_string();
    if !text.is_empty() {
        fields.0.insert("message".to_owned(), text.into());
    }
    let mut line = serde_json::to_vec(&fields.0)?;
    line.push(b'\n');
    Ok(line)
}

struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

/// Writes what waits, as much as there is at once.
fn write_all(rx: &mpsc::Receiver<Message>, dropped: &atomic::AtomicU64) {
    let mut buf = Vec::new();
    while let Ok(message) = rx.recv() {
        let mut flushes = Vec::new();
        gather(message, &mut buf, &mut flushes);
        if flushes.is_empty() {
            thread::sleep(GATHER);
        }
        while let Ok(message) = rx.try_recv() {
            gather(message, &mut buf, &mut flushes);
        }
        let lost = dropped.swap(0, atomic::Ordering::Relaxed);
        if lost > 0 {
            buf.extend_from_slice(
                format!("{{\"level\":\"WARN\",\"event\":\"log.dropped\",\"lines\":{lost}}}\n")
                    .as_bytes(),
            );
        }
        if std::io::stdout().lock().write_all(&buf).is_err() {
            // Told in the next line that can be written.
            dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
        buf.clear();
        for flush in flushes {
            if flush.send(()).is_err() {
                dropped.fetch_add(1, atomic::Ordering::Relaxed);
            }
        }
    }
}

fn gather(message: Message, buf: &mut Vec<u8>, flushes: &mut Vec<mpsc::SyncSender<()>>) {
    match message {
        Message::Line(line) => buf.extend_from_slice(&line),
        Message::Flush(tx) => flushes.push(tx),
    }
}
