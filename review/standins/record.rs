//! What was sent, answered and run, with the seconds since the start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began_at: Instant,
}

impl Record {
    pub fn open(path: &str) -> std::io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            began_at: Instant::now(),
        })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.began_at.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3}  {text}\n", self.now());
        let mut file = self.file.lock().expect("no writer fails");
        let _ = file.write_all(line.as_bytes());
    }
}
