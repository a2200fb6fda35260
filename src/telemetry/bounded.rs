//! Non-blocking, rate-limited log output to the standard output.
//!
//! A stalled reader or a burst of log lines must not slow requests down. Lines go to a
//! queue that a dedicated thread drains; lines over the limits are dropped, and their
//! number is logged.

use std::io::Write as _;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use log4rs::append;

use crate::clock;

/// Capacity of the queue: a few seconds of output of a busy process, about 1 MiB.
const QUEUE_CAPACITY: usize = 4_096;

/// Maximum number of lines per second; a busy entry writes four for each of 60 jobs.
const MAX_LINES_PER_SECOND: u32 = 600;

/// Pause of the writer thread, which combines the lines of a burst into one write.
const BATCH_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Maximum wait for the writer thread in a flush, such as at process exit.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Field that names a run.
const RUN_FIELD: &str = "run";

/// Appender that queues lines for the writer thread.
#[derive(Debug)]
pub struct Appender {
    tx: mpsc::SyncSender<Message>,
    dropped: sync::Arc<atomic::AtomicU64>,
    rate_limit: sync::Mutex<RateLimit>,
    name_task: NameTask,
}

/// Returns the platform's name of the task of a run, given the value of the field `run`; `None` if
/// that names no run.
pub type NameTask = fn(&str) -> Option<String>;

#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    Flush(mpsc::SyncSender<()>),
}

/// Counts the lines of the current one-second window.
#[derive(Debug)]
struct RateLimit {
    window_start: time::Instant,
    lines: u32,
}

impl RateLimit {
    fn try_take(&mut self, now: time::Instant) -> bool {
        if now.duration_since(self.window_start) >= time::Duration::from_secs(1) {
            self.window_start = now;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= MAX_LINES_PER_SECOND
    }
}

impl Appender {
    /// Starts the writer thread.
    pub fn start(name_task: NameTask) -> std::io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(QUEUE_CAPACITY);
        let dropped = sync::Arc::new(atomic::AtomicU64::new(0));
        let thread_dropped = sync::Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx, &thread_dropped))?;
        Ok(Self {
            tx,
            dropped,
            rate_limit: sync::Mutex::new(RateLimit {
                window_start: time::Instant::now(),
                lines: 0,
            }),
            name_task,
        })
    }

    fn is_over_rate(&self, level: log::Level) -> bool {
        // Errors are exempt: they are rare and the first thing an operator looks for.
        if level == log::Level::Error {
            return false;
        }
        let rate_limit = self.rate_limit.lock();
        rate_limit.is_ok_and(|mut rate_limit| !rate_limit.try_take(time::Instant::now()))
    }
}

impl append::Append for Appender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        if self.is_over_rate(record.level()) {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
            return Ok(());
        }
        if self
            .tx
            .try_send(Message::Line(line(record, self.name_task)?))
            .is_err()
        {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let (tx, rx) = mpsc::sync_channel(1);
        let is_queued = self.tx.try_send(Message::Flush(tx)).is_ok();
        if is_queued && rx.recv_timeout(FLUSH_TIMEOUT).is_err() {
            // The writer thread is blocked, which must not keep the process from exiting.
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

/// Encodes a record as one line: time, level, key-value fields and the message, if any.
///
/// A line with a field `run` also has the platform's name of the task, in a field `task`.
///
/// The JSON encoder of log4rs also writes file, line, module and thread, which makes
/// lines five times as long.
pub fn line(record: &log::Record<'_>, name_task: NameTask) -> anyhow::Result<Vec<u8>> {
    let mut fields = Fields(serde_json::Map::new());
    fields
        .0
        .insert("time_ms".to_owned(), clock::unix_ms().into());
    fields
        .0
        .insert("level".to_owned(), record.level().as_str().into());
    record.key_values().visit(&mut fields)?;
    let run = fields.0.get(RUN_FIELD).and_then(serde_json::Value::as_str);
    if let Some(task) = run.and_then(name_task) {
        fields.0.insert("task".to_owned(), task.into());
    }
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

/// Writes all queued lines at once, in a loop.
fn write_lines(rx: &mpsc::Receiver<Message>, dropped: &atomic::AtomicU64) {
    let mut buf = Vec::new();
    while let Ok(message) = rx.recv() {
        let mut flushes = Vec::new();
        add_to_batch(message, &mut buf, &mut flushes);
        if flushes.is_empty() {
            thread::sleep(BATCH_INTERVAL);
        }
        while let Ok(message) = rx.try_recv() {
            add_to_batch(message, &mut buf, &mut flushes);
        }
        let lost = dropped.swap(0, atomic::Ordering::Relaxed);
        if lost > 0 {
            buf.extend_from_slice(
                format!("{{\"level\":\"WARN\",\"event\":\"log.dropped\",\"lines\":{lost}}}\n")
                    .as_bytes(),
            );
        }
        if std::io::stdout().lock().write_all(&buf).is_err() {
            // Reported in the next line that can be written.
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

fn add_to_batch(message: Message, buf: &mut Vec<u8>, flushes: &mut Vec<mpsc::SyncSender<()>>) {
    match message {
        Message::Line(line) => buf.extend_from_slice(&line),
        Message::Flush(tx) => flushes.push(tx),
    }
}
