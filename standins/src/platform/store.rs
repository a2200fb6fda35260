//! Store of the platform: topics and their partitions, kept in memory.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use actix_web::web;
use base64::Engine as _;
use serde::Deserialize;

/// Maximum size of a page, in bytes.
const MAX_PAGE_BYTES: usize = 1 << 20;

/// Maximum number of records in a page of the newest ones.
const MAX_NEWEST_RECORDS: usize = 500;

/// Longest time that an append waits for those before it.
const MAX_APPEND_WAIT: time::Duration = time::Duration::from_secs(2);

/// Interval between two checks for new records while a read waits.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// A topic and the number of one of its partitions.
type Partition = (String, u32);

/// State of the store, shared with the test that controls it.
#[derive(Debug, Default)]
pub struct Store {
    partitions: sync::Mutex<collections::HashMap<Partition, Vec<Vec<u8>>>>,
    is_down: atomic::AtomicBool,
    append_time: time::Duration,
    /// Time at which the last accepted append of each partition is done.
    appended_at: sync::Mutex<collections::HashMap<Partition, time::Instant>>,
    reads: atomic::AtomicU64,
    newest_records: atomic::AtomicU64,
    aliases: Aliases,
    /// Rows that are added to pages of newest records, with their topics.
    further_rows: sync::Mutex<Vec<(String, Vec<u8>)>>,
}

/// Strings that the store replaces in records.
#[derive(Debug, Default)]
pub struct Aliases(sync::Mutex<Vec<(Vec<u8>, Vec<u8>)>>);

impl Aliases {
    /// Replaces `from` by `to` from now on.
    pub fn add(&self, from: &str, to: &str) {
        let alias_pair = (from.as_bytes().to_vec(), to.as_bytes().to_vec());
        crate::lock(&self.0).push(alias_pair);
    }

    fn apply(&self, record: &[u8]) -> Vec<u8> {
        let mut record = record.to_vec();
        for (from, to) in &*crate::lock(&self.0) {
            let found = record.windows(from.len()).position(|at| at == from);
            if let Some(at) = found {
                record.splice(at..at + from.len(), to.iter().copied());
            }
        }
        record
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Query {
    topic: String,
    #[serde(default)]
    part: u32,
    #[serde(default)]
    from: usize,
    #[serde(default)]
    wait_ms: u64,
    /// Key after which a page of the newest records starts.
    #[serde(default)]
    depends_on: String,
}

impl Store {
    /// Creates a store that takes the given time for each append to a partition, one after the
    /// other.
    pub fn with_append_time(append_time: time::Duration) -> Self {
        Self {
            append_time,
            ..Self::default()
        }
    }

    /// Returns the number of records that were appended to the first partition of a topic.
    pub fn appended(&self, topic: &str) -> usize {
        self.end(&(topic.to_owned(), 0))
    }

    /// Returns the number of reads that were answered.
    pub fn reads(&self) -> u64 {
        self.reads.load(atomic::Ordering::SeqCst)
    }

    /// Returns the number of records in the responses to all reads of newest records.
    pub fn newest_records(&self) -> u64 {
        self.newest_records.load(atomic::Ordering::SeqCst)
    }

    /// Returns the time at which an append that arrives now is done, or `None` if it would wait
    /// for too long.
    fn queue_append(&self, partition: &Partition) -> Option<time::Instant> {
        let now = time::Instant::now();
        let mut appended_at = crate::lock(&self.appended_at);
        let last = appended_at.entry(partition.clone()).or_insert(now);
        let begins = now.max(*last);
        if begins > now + MAX_APPEND_WAIT {
            return None;
        }
        *last = begins + self.append_time;
        Some(*last)
    }

    /// Takes the store down, so that every call is answered with 503, or up again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, atomic::Ordering::SeqCst);
    }

    /// Appends a record with a key, as an operator does; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let length = u8::try_from(key.len()).unwrap_or(u8::MAX);
        let record = [&[length], key.as_bytes(), value].concat();
        let mut partitions = crate::lock(&self.partitions);
        let records = partitions.entry((topic.to_owned(), 0)).or_default();
        records.push(record);
    }

    /// Adds a row, as it is, to the first page of the newest records of a topic.
    pub fn add_row(&self, topic: &str, row: &[u8]) {
        let mut rows = crate::lock(&self.further_rows);
        rows.push((topic.to_owned(), row.to_vec()));
    }

    /// Replaces `from` by `to` in records appended by processes.
    ///
    /// A test replaces the address of a process by that of a relay in front of it.
    pub fn alias(&self, from: &str, to: &str) {
        self.aliases.add(from, to);
    }

    fn end(&self, partition: &Partition) -> usize {
        let partitions = crate::lock(&self.partitions);
        partitions.get(partition).map_or(0, Vec::len)
    }
}

impl Query {
    fn partition(&self) -> Partition {
        (self.topic.clone(), self.part)
    }
}

/// Registers the routes of the store.
pub fn configure(cfg: &mut web::ServiceConfig, store: &sync::Arc<Store>) {
    configure_with(cfg, store, &sync::Arc::default());
}

/// Registers the routes of the store, for readers that get the records with further aliases.
pub fn configure_with(
    cfg: &mut web::ServiceConfig,
    store: &sync::Arc<Store>,
    aliases: &sync::Arc<Aliases>,
) {
    cfg.app_data(web::Data::from(sync::Arc::clone(store)));
    cfg.app_data(web::Data::from(sync::Arc::clone(aliases)));
    cfg.route("/log-append", web::post().to(append));
    cfg.route("/log-read", web::get().to(read));
    cfg.route("/log-newest", web::get().to(newest));
}

fn unavailable(store: &Store) -> Option<actix_web::HttpResponse> {
    let is_down = store.is_down.load(atomic::Ordering::SeqCst);
    is_down.then(|| actix_web::HttpResponse::ServiceUnavailable().finish())
}

async fn append(
    store: web::Data<Store>,
    query: web::Query<Query>,
    body: web::Bytes,
) -> actix_web::HttpResponse {
    if let Some(response) = unavailable(&store) {
        return response;
    }
    let Some(done_at) = store.queue_append(&query.partition()) else {
        return actix_web::HttpResponse::ServiceUnavailable().finish();
    };
    // The append is carried out even if its caller doesn't wait for the response.
    let appended = actix_rt::spawn(async move {
        tokio::time::sleep_until(done_at.into()).await;
        append_now(&store, &query, &body)
    });
    appended
        .await
        .unwrap_or_else(|_panicked| actix_web::HttpResponse::InternalServerError().finish())
}

fn append_now(store: &Store, query: &Query, body: &[u8]) -> actix_web::HttpResponse {
    let mut rest = body;
    let mut partitions = crate::lock(&store.partitions);
    let records = partitions.entry(query.partition()).or_default();
    let offset = records.len();
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let Some((record, after)) = after.split_at_checked(length) else {
            return actix_web::HttpResponse::BadRequest().finish();
        };
        records.push(store.aliases.apply(record));
        rest = after;
    }
    actix_web::HttpResponse::Ok().json(serde_json::json!({"offset": offset, "end": records.len()}))
}

async fn read(
    store: web::Data<Store>,
    aliases: web::Data<Aliases>,
    query: web::Query<Query>,
) -> actix_web::HttpResponse {
    let until = time::Instant::now() + time::Duration::from_millis(query.wait_ms);
    let partition = query.partition();
    while store.end(&partition) <= query.from && time::Instant::now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    if let Some(response) = unavailable(&store) {
        return response;
    }
    store.reads.fetch_add(1, atomic::Ordering::SeqCst);
    let partitions = crate::lock(&store.partitions);
    let records = partitions.get(&partition).map_or(&[][..], Vec::as_slice);
    let mut body = (records.len() as u64).to_be_bytes().to_vec();
    body.extend_from_slice(&0_u64.to_be_bytes());
    let records = records.iter().skip(query.from);
    for record in records.map(|record| aliases.apply(record)) {
        if body.len() + record.len() > MAX_PAGE_BYTES {
            break;
        }
        let length = u32::try_from(record.len()).unwrap_or(u32::MAX);
        body.extend_from_slice(&length.to_be_bytes());
        body.extend_from_slice(&record);
    }
    actix_web::HttpResponse::Ok().body(body)
}

async fn newest(
    store: web::Data<Store>,
    aliases: web::Data<Aliases>,
    query: web::Query<Query>,
) -> actix_web::HttpResponse {
    if let Some(response) = unavailable(&store) {
        return response;
    }
    let partitions = crate::lock(&store.partitions);
    let records = partitions
        .get(&query.partition())
        .map_or(&[][..], Vec::as_slice);
    let mut newest = collections::BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        let Some((length, rest)) = record.split_first() else {
            continue;
        };
        let (key, value) = rest.split_at(usize::from(*length).min(rest.len()));
        newest.insert(
            String::from_utf8_lossy(key).into_owned(),
            (offset, value.to_vec()),
        );
    }
    newest.retain(|_, (_, value)| !value.is_empty());
    let encode = |value: &[u8]| base64::engine::general_purpose::STANDARD.encode(value);
    let mut items = newest
        .iter()
        .filter(|(key, _)| **key > query.depends_on)
        .map(|(key, (offset, value))| {
            serde_json::json!({"key": key, "value": encode(&aliases.apply(value)), "offset": offset})
        });
    let page: Vec<_> = items.by_ref().take(MAX_NEWEST_RECORDS).collect();
    let has_more = items.next().is_some();
    store
        .newest_records
        .fetch_add(page.len() as u64, atomic::Ordering::SeqCst);
    let mut rows: Vec<_> = page
        .iter()
        .map(|row| row.to_string().into_bytes())
        .collect();
    if query.depends_on.is_empty() {
        let further = crate::lock(&store.further_rows);
        let further = further.iter().filter(|(topic, _)| *topic == query.topic);
        // The last row of a page tells where the next one begins.
        rows.splice(0..0, further.map(|(_, row)| row.clone()));
    }
    let end = format!("],\"more\":{has_more},\"end\":{}}}", records.len());
    let body = [&b"{\"items\":["[..], &rows.join(&b','), end.as_bytes()].concat();
    actix_web::HttpResponse::Ok()
        .content_type("application/json")
        .body(body)
}
