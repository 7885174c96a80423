//! Log lines: one JSON object a line on standard output, bounded and never
//! waited for.
//!
//! A reader that stops reading would block whoever writes to the pipe, and with
//! it all requests of the daemon. So lines go into a bounded queue that a thread
//! of its own empties; what doesn't fit is dropped and counted.

use std::{
    io::Write as _,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::Duration,
};

use logforth::{
    Append, Diagnostic, Layout,
    layout::JsonLayout,
    record::{Level, LevelFilter, Record},
};

/// The lines that wait for the writer at most, some hundred bytes each.
const QUEUED_LINES: usize = 2_048;
/// Lines are written in pieces of whole lines up to this size: a pipe takes so
/// much in one step, and lines of two processes on one pipe don't mix.
const PIECE_BYTES: usize = 4_096;
/// How long the writer gathers lines before it writes them together: each write
/// is a system call, and wakes a thread.
const GATHER_SPAN: Duration = Duration::from_millis(100);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// How many lines were dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

#[derive(Debug)]
struct QueueAppend {
    layout: JsonLayout,
    queue: SyncSender<Vec<u8>>,
}

impl Append for QueueAppend {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if self.queue.try_send(line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}

/// Starts logging from a level on.
///
/// # Errors
///
/// Fails if the writer's thread can't be started.
pub fn start(level: &str) -> std::io::Result<()> {
    let level = match level {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        _ => Level::Info,
    };
    let (queue, lines) = sync_channel(QUEUED_LINES);
    std::thread::Builder::new()
        .name("log-writer".to_owned())
        .spawn(move || write_lines(&lines))?;
    let append = QueueAppend {
        layout: JsonLayout::default(),
        queue,
    };
    logforth::starter_log::builder()
        .dispatch(|it| {
            it.filter(LevelFilter::MoreSevereEqual(level))
                .append(append)
        })
        .apply();
    Ok(())
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut told = 0;
    while let Ok(first) = lines.recv() {
        std::thread::sleep(GATHER_SPAN);
        let mut text = first;
        for line in lines.try_iter() {
            if text.len() + line.len() > PIECE_BYTES {
                write_piece(&text);
                text.clear();
            }
            text.extend_from_slice(&line);
        }
        let dropped = dropped_lines();
        if dropped > told {
            text.extend_from_slice(dropped_line(dropped).as_bytes());
            told = dropped;
        }
        write_piece(&text);
    }
}

fn dropped_line(dropped: u64) -> String {
    let line = serde_json::json!({
        "level": "WARN", "message": "logs: lines were dropped", "kvs": {"dropped": dropped},
    });
    format!("{line}\n")
}

fn write_piece(text: &[u8]) {
    // Where standard output is gone there is nobody to tell.
    let _ = std::io::stdout().write_all(text);
}

/// Waits until the lines written so far are out, for the end of the process.
pub fn drain() {
    std::thread::sleep(GATHER_SPAN * 2);
}
