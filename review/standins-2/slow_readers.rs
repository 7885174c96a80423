//! Clients read a page of results slowly, and the daemon that answers them runs out of memory.

use std::{
    io::Read,
    net::SocketAddr,
    os::fd::AsRawFd,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    callers::{HOST, KEY, Seen, settings},
    fleet::{Daemon, DaemonOptions, Folder},
    http::{self, Connection},
    json,
    record::Record,
    runner::{Runner, RunnerOptions, Work},
    store::Store,
};

/// The memory of the smallest VM of the deployment, in MB.
const FRONT_MEMORY_MB: u64 = 160;
/// The lot has the largest number of items, with the largest number of events of the largest
/// size, of the deployment's sheet. Its results fill a page.
const ITEMS: usize = 24;
const EVENTS: u64 = 84;
const EVENT_BYTES: usize = 480;
/// The clients that read the results at the same time.
const READERS: usize = 200;
/// Clients with a kept connection, which send one request after the other.
const CALLERS: usize = 8;
/// How long a plain request takes.
const PLAIN_TIME: Duration = Duration::from_millis(250);
/// A slow reader takes so many bytes at a time, at this interval: 16 kB a second.
const SLOW_BYTES: usize = 8192;
const SLOW_INTERVAL: Duration = Duration::from_millis(250);
/// The receive buffer of a reader.
const RECEIVE_BUFFER: i32 = 65536;
/// How long the readers go on.
const READING_TIME: Duration = Duration::from_secs(30);

/// The answers that readers got.
#[derive(Default)]
struct Pages {
    whole: AtomicUsize,
    broken_off: AtomicUsize,
}

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let folder = Folder::new().map_err(text)?;
    let (store, store_address) = Store::start().map_err(text)?;
    store.put("op/config", &settings());
    let engine = RunnerOptions {
        id: "i-engine-1".to_owned(),
        service: "engines".to_owned(),
        zone: "zone-a".to_owned(),
        slots: 32,
        work: Work::Stream {
            events: EVENTS,
            event_bytes: EVENT_BYTES,
            pause: Duration::from_millis(5),
        },
    };
    let plain = RunnerOptions {
        id: "i-plain-1".to_owned(),
        service: "plain".to_owned(),
        slots: 16,
        work: Work::Plain(PLAIN_TIME),
        ..engine.clone()
    };
    let _engine = Runner::start(engine, &store, record.clone()).map_err(text)?;
    let plain = Runner::start(plain, &store, record.clone()).map_err(text)?;
    let start = |name: &str, is_front: bool, memory_mb: u64, number: u8| {
        let options = DaemonOptions {
            name: name.to_owned(),
            zone: "zone-a".to_owned(),
            is_front,
            memory_mb,
        };
        Daemon::start(options, number, store_address, &folder).map_err(text)
    };
    let front = start("front-1", true, FRONT_MEMORY_MB, 1)?;
    let _lots = start("lots-1", false, 270, 2)?;
    if !front.wait_ready() {
        return Err("the front daemon isn't ready".to_owned());
    }
    front.watch(record.clone());
    std::thread::sleep(Duration::from_secs(2));
    submit_lot(front.callers)?;
    let until = Instant::now() + Duration::from_secs(30);
    while !is_done(front.callers) {
        if Instant::now() > until {
            return Err("the lot isn't done".to_owned());
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    record.line(format!(
        "the lot is done; the front uses {} MB",
        front.peak_mb()
    ));

    let seen = Arc::new(Seen::default());
    let stop = Arc::new(AtomicBool::new(false));
    let pages = Arc::new(Pages::default());
    let mut threads = seen.start_callers(CALLERS, front.callers, &stop, record);
    for reader in 0..READERS {
        let (pages, stop, address) = (pages.clone(), stop.clone(), front.callers);
        threads.push(std::thread::spawn(move || {
            // The readers come over some seconds.
            std::thread::sleep(Duration::from_millis(20 * reader as u64));
            while !stop.load(Ordering::SeqCst) {
                match read_page(address, has_trouble, &stop) {
                    true => pages.whole.fetch_add(1, Ordering::SeqCst),
                    false => pages.broken_off.fetch_add(1, Ordering::SeqCst),
                };
                std::thread::sleep(Duration::from_millis(500));
            }
        }));
    }
    record.line(format!(
        "{READERS} clients read the results, slowly: {has_trouble}"
    ));
    let until = Instant::now() + READING_TIME;
    while Instant::now() < until && front.kills() < 2 {
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }

    record.line(format!(
        "pages: {} whole, {} broken off; the front used {} MB at most and was killed {} times",
        pages.whole.load(Ordering::SeqCst),
        pages.broken_off.load(Ordering::SeqCst),
        front.peak_mb(),
        front.kills()
    ));
    Ok(seen.judge(&plain, record))
}

fn submit_lot(front: SocketAddr) -> Result<(), String> {
    let items: Vec<String> = (0..ITEMS)
        .map(|it| {
            let body = json::base64(format!("body {it}").as_bytes());
            format!(
                r#"{{"id":"item{it:02}","path":"/pule252/3/{it}","headers":{{"X-Model":"m"}},"body":"{body}","tokens":540}}"#
            )
        })
        .collect();
    let body = format!(r#"{{"items":[{}]}}"#, items.join(","));
    let headers = [
        ("Host", HOST),
        ("Api-Key", KEY),
        ("X-Request-Id", "lot1"),
        ("X-Deadline-Ms", "5000"),
    ];
    let wait = Duration::from_secs(5);
    let answer = http::call(
        front,
        "POST",
        "/pule252/lot1",
        &headers,
        body.as_bytes(),
        wait,
    );
    match answer.map_err(|it| it.to_string())?.status {
        202 => Ok(()),
        status => Err(format!("the lot is refused with {status}")),
    }
}

fn is_done(front: SocketAddr) -> bool {
    let headers = [("Host", HOST), ("Api-Key", KEY), ("X-Request-Id", "read0")];
    let target = format!("/-/lots/lot1?after={}", ITEMS - 1);
    let wait = Duration::from_secs(5);
    let answer = http::call(front, "GET", &target, &headers, b"", wait);
    let body = answer.ok().and_then(|it| json::parse(&it.body));
    body.is_some_and(|it| !it.get("results").list().is_empty())
}

/// Reads all results of the lot. Returns whether the whole answer arrived.
fn read_page(front: SocketAddr, is_slow: bool, stop: &AtomicBool) -> bool {
    let Ok(mut connection) = Connection::open(front, Duration::from_secs(20)) else {
        return false;
    };
    let headers = [("Host", HOST), ("Api-Key", KEY), ("X-Request-Id", "read1")];
    if !is_slow {
        let sent = connection.send("GET", "/-/lots/lot1?after=0", &headers, b"");
        let answer = sent.and_then(|()| connection.receive());
        return answer.is_ok_and(|it| it.status == 200);
    }
    set_receive_buffer(&connection.stream);
    if connection
        .send("GET", "/-/lots/lot1?after=0", &headers, b"")
        .is_err()
    {
        return false;
    }
    let mut bytes = vec![0; SLOW_BYTES];
    let mut received = 0;
    while !stop.load(Ordering::SeqCst) {
        match connection.stream.read(&mut bytes) {
            Ok(0) | Err(_) => return false,
            Ok(length) => received += length,
        }
        if received > 700_000 {
            // The rest is read at once: what matters is over.
            return true;
        }
        std::thread::sleep(SLOW_INTERVAL);
    }
    true
}

/// Gives a socket a small receive buffer, as small devices have.
fn set_receive_buffer(stream: &std::net::TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the option's value is an integer that outlives the call.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_RCVBUF,
            &RECEIVE_BUFFER,
            4,
        );
    }
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}
