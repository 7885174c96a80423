//! The platform's metadata store: keys, ranges, watches, transactions and leases.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, answer, serve},
    json::{Json, base64, quoted},
};

#[derive(Clone, Debug)]
struct Item {
    /// The value in base64.
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

impl Item {
    fn write(&self, key: &str) -> String {
        format!(
            r#"{{"key":{},"value":"{}","revision":{},"created":{},"lease":{}}}"#,
            quoted(key),
            self.value,
            self.revision,
            self.created,
            self.lease
        )
    }
}

#[derive(Default)]
struct Tables {
    revision: i64,
    items: BTreeMap<String, Item>,
    /// Revision, key and the text of each change.
    events: Vec<(i64, String, String)>,
    leases: BTreeMap<i64, (Duration, Instant)>,
    next_lease: i64,
    is_down: bool,
}

impl Tables {
    fn write(&mut self, key: &str, value: String, lease: i64) {
        let created = self.items.get(key).map_or(self.revision, |it| it.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.events
            .push((self.revision, key.to_owned(), item.write(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let text = format!(
                r#"{{"key":{},"revision":{revision},"removed":true}}"#,
                quoted(key)
            );
            self.events.push((revision, key.to_owned(), text));
        }
    }

    fn end_lease(&mut self, lease: i64) -> bool {
        let is_known = self.leases.remove(&lease).is_some();
        let keys = self.items.iter().filter(|it| it.1.lease == lease);
        let keys: Vec<String> = keys.map(|it| it.0.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
        is_known
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|it| it.1.1 <= now);
        let over: Vec<i64> = over.map(|it| *it.0).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let is_met = |row: &Json| {
            let found = self.items.get(row.get("key").text());
            found.map_or(0, |it| it.revision) == row.get("revision").number()
        };
        let expected = body.get("expected").list();
        if !expected.iter().all(is_met) {
            let keys = expected.iter().map(|it| it.get("key").text());
            let found = keys.filter_map(|it| Some(self.items.get(it)?.write(it)));
            let found: Vec<String> = found.collect();
            let revision = self.revision;
            let items = found.join(",");
            return (
                412,
                format!(r#"{{"items":[{items}],"store_revision":{revision}}}"#),
            );
        }
        let writes = body.get("writes").list();
        let bytes_of = |it: &Json| it.get("value").text().len() / 4 * 3;
        if writes.iter().any(|it| bytes_of(it) > VALUE_BYTES + 2) {
            return (413, "{}".to_owned());
        }
        let lease_of = |it: &Json| it.get("lease").number();
        if writes
            .iter()
            .any(|it| lease_of(it) != 0 && !self.leases.contains_key(&lease_of(it)))
        {
            return (404, "{}".to_owned());
        }
        self.revision += 1;
        for write in writes {
            let value = write.get("value").text().to_owned();
            self.write(write.get("key").text(), value, lease_of(write));
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!(r#"{{"revision":{}}}"#, self.revision))
    }
}

/// The largest value in bytes.
const VALUE_BYTES: usize = 1_048_576;

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Tables>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(listener: TcpListener) -> Store {
        let address = listener.local_addr().expect("an address");
        let tables = Tables {
            revision: 100,
            ..Tables::default()
        };
        let store = Store {
            shared: Arc::new((Mutex::new(tables), Condvar::new())),
            address,
        };
        let own = store.clone();
        serve(listener, move |request, writer| {
            let (status, body) = own.answer(request);
            let json = "content-type: application/json\r\n";
            writer
                .write_all(&answer(status, json, body.as_bytes()))
                .is_ok()
        });
        let own = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                own.lock().expire();
                own.shared.1.notify_all();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.shared.0.lock().expect("no writer fails")
    }

    /// Writes a key as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        let mut tables = self.lock();
        tables.revision += 1;
        tables.write(key, base64(value.as_bytes()), 0);
        drop(tables);
        self.shared.1.notify_all();
    }

    /// Removes a key, as when a runner's entry is removed.
    pub fn remove(&self, key: &str) {
        let mut tables = self.lock();
        tables.revision += 1;
        tables.remove(key);
        drop(tables);
        self.shared.1.notify_all();
    }

    /// Sets whether the store is down: it answers all calls with 503, which means that
    /// nothing was done. Leases expire meanwhile.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
        self.shared.1.notify_all();
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        if self.lock().is_down {
            return (503, "{}".to_owned());
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let id = || {
            request
                .path()
                .rsplit('/')
                .next()
                .and_then(|it| it.parse().ok())
        };
        match (request.method(), request.path()) {
            ("GET", "/-/kv-key") => {
                let mut tables = self.lock();
                tables.expire();
                let key = request.query("key");
                let Some(item) = tables.items.get(&key) else {
                    return (404, "{}".to_owned());
                };
                let text = item.write(&key);
                let text = text.trim_end_matches('}');
                (
                    200,
                    format!(r#"{text},"store_revision":{}}}"#, tables.revision),
                )
            }
            ("GET", "/-/kv-range") => {
                let mut tables = self.lock();
                tables.expire();
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let items = tables.items.iter();
                let listed = items.filter(|it| it.0.starts_with(&prefix) && *it.0 > after);
                let mut items: Vec<String> = listed.map(|it| it.1.write(it.0)).take(501).collect();
                let has_more = items.len() > 500;
                items.truncate(500);
                let (items, revision) = (items.join(","), tables.revision);
                let body = format!(
                    r#"{{"items":[{items}],"has_more":{has_more},"store_revision":{revision}}}"#
                );
                (200, body)
            }
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => {
                let mut tables = self.lock();
                tables.expire();
                let answer = tables.transact(&body);
                drop(tables);
                self.shared.1.notify_all();
                answer
            }
            ("POST", "/-/kv-lease") => {
                let ttl = body.get("ttl_ms").number().max(1_000);
                let term = Duration::from_millis(ttl as u64);
                let mut tables = self.lock();
                tables.next_lease += 1;
                let lease = tables.next_lease;
                tables.leases.insert(lease, (term, Instant::now() + term));
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let mut tables = self.lock();
                tables.expire();
                match id().and_then(|it: i64| tables.leases.get_mut(&it)) {
                    Some(lease) => {
                        lease.1 = Instant::now() + lease.0;
                        (200, format!(r#"{{"ttl_ms":{}}}"#, lease.0.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let is_known = id().is_some_and(|it| self.lock().end_lease(it));
                self.shared.1.notify_all();
                (if is_known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("prefix");
        let after: i64 = request.query("after").parse().unwrap_or(0);
        let wait = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut tables = self.lock();
        loop {
            let events = tables.events.iter();
            let found = events.filter(|it| it.0 > after && it.1.starts_with(&prefix));
            let found: Vec<&str> = found.map(|it| it.2.as_str()).collect();
            if tables.is_down {
                return (503, "{}".to_owned());
            }
            let now = Instant::now();
            if !found.is_empty() || now >= until {
                let (events, revision) = (found.join(","), tables.revision);
                return (
                    200,
                    format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#),
                );
            }
            let waited = self.shared.1.wait_timeout(tables, until - now);
            tables = waited.expect("no writer fails").0;
        }
    }
}
