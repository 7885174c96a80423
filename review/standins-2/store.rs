//! A stand-in of the platform's store. It keeps values in their base64 form.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json::{self, Json},
};

/// How long an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// The limits of a page, as the pages name them.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// All changes, by revision: the key and the item, unless it was removed.
    changes: Vec<(i64, String, Option<Item>)>,
    revision: i64,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        let created = self.items.get(key).map_or(self.revision, |it| it.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.changes
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push((self.revision, key.to_owned(), None));
        }
    }

    /// Removes the keys of leases that have ended.
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<i64> = self
            .leases
            .iter()
            .filter(|it| it.1.until <= now)
            .map(|it| *it.0)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: i64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let bound = self.items.iter().filter(|it| it.1.lease == lease);
        let keys: Vec<String> = bound.map(|it| it.0.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            for key in keys {
                self.remove(&key);
            }
        }
        true
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

impl Store {
    /// Starts the store.
    pub fn start() -> io::Result<(Arc<Store>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Arc::new(Store::default());
        store.lock().revision = 1;
        let shared = store.clone();
        http::serve(listener, move |request, stream| {
            let (status, body) = shared.answer(request);
            let head = [("Content-Type", "application/json")];
            http::respond(stream, status, &head, body.as_bytes())?;
            Ok(true)
        });
        Ok((store, address))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Writes a key, as an operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, json::base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Returns the value of a key; empty if there is none.
    pub fn value(&self, key: &str) -> Vec<u8> {
        let state = self.lock();
        let item = state.items.get(key);
        item.map_or_else(Vec::new, |it| json::from_base64(&it.value))
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        std::thread::sleep(ANSWER_TIME);
        let path = request.path();
        match (request.method.as_str(), path) {
            ("GET", "/-/kv-key") => self.read_key(request.field("key")),
            ("GET", "/-/kv-range") => {
                self.read_page(request.field("prefix"), request.field("after"))
            }
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => self.transact(&request.body),
            ("POST", "/-/kv-lease") => {
                let body = json::parse(&request.body).unwrap_or(Json::Null);
                let ttl = body.get("ttl_ms").number() as u64;
                let mut state = self.lock();
                state.last_lease += 7;
                let lease = state.last_lease;
                let ttl_time = Duration::from_millis(ttl);
                let until = Instant::now() + ttl_time;
                state.leases.insert(
                    lease,
                    Lease {
                        ttl: ttl_time,
                        until,
                    },
                );
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
            }
            ("POST", _) if path.starts_with("/-/kv-keep/") => {
                let mut state = self.lock();
                state.expire();
                match state.leases.get_mut(&number_of(path)) {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.ttl;
                        (200, format!(r#"{{"ttl_ms":{}}}"#, lease.ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => {
                let is_ended = self.lock().end_lease(number_of(path));
                self.changed.notify_all();
                (if is_ended { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn read_key(&self, key: &str) -> (u16, String) {
        let mut state = self.lock();
        state.expire();
        match state.items.get(key) {
            Some(item) => {
                let text = item_json(key, item);
                let open = text.trim_end_matches('}');
                (
                    200,
                    format!(r#"{open},"store_revision":{}}}"#, state.revision),
                )
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn read_page(&self, prefix: &str, after: &str) -> (u16, String) {
        let mut state = self.lock();
        state.expire();
        let mut texts = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, item) in state.items.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= after {
                continue;
            }
            bytes += item.value.len();
            if texts.len() >= PAGE_ITEMS || (bytes > PAGE_BYTES && !texts.is_empty()) {
                has_more = true;
                break;
            }
            texts.push(item_json(key, item));
        }
        let body = format!(
            r#"{{"items":[{}],"has_more":{has_more},"store_revision":{}}}"#,
            texts.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.field("prefix");
        let after: i64 = request.field("after").parse().unwrap_or_default();
        let wait = request.field("wait_ms").parse().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            state.expire();
            let begin = state.changes.partition_point(|it| it.0 <= after);
            let changes = state.changes[begin..].iter();
            let events: Vec<String> = changes
                .filter(|it| it.1.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                let events = events.join(",");
                let revision = state.revision;
                let body = format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#);
                return (200, body);
            }
            let pause = Duration::from_millis(50);
            let waited = self.changed.wait_timeout(state, pause);
            state = waited.unwrap_or_else(|it| it.into_inner()).0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(batch) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.lock();
        state.expire();
        let expected = batch.get("expected").list();
        let holds = |it: &Json| {
            let item = state.items.get(it.get("key").text());
            item.map_or(0, |it| it.revision) == it.get("revision").number() as i64
        };
        if !expected.iter().all(holds) {
            let found = expected.iter().filter_map(|it| {
                let key = it.get("key").text();
                Some(item_json(key, state.items.get(key)?))
            });
            let items: Vec<String> = found.collect();
            let revision = state.revision;
            let items = items.join(",");
            return (
                412,
                format!(r#"{{"items":[{items}],"store_revision":{revision}}}"#),
            );
        }
        let writes = batch.get("writes").list();
        let leases = writes.iter().map(|it| it.get("lease").number() as i64);
        if leases
            .filter(|it| *it != 0)
            .any(|it| !state.leases.contains_key(&it))
        {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for write in writes {
            let lease = write.get("lease").number() as i64;
            state.put(
                write.get("key").text(),
                write.get("value").text().to_owned(),
                lease,
            );
        }
        for key in batch.get("remove").list() {
            state.remove(key.text());
        }
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{}}}"#, state.revision))
    }
}

fn number_of(path: &str) -> i64 {
    let last = path.rsplit('/').next();
    last.and_then(|it| it.parse().ok()).unwrap_or_default()
}
