//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record, with the time since the start of the case on each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun_at: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
            begun_at: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let elapsed = self.begun_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{elapsed:9.3} s  {}", text.as_ref());
    }
}
