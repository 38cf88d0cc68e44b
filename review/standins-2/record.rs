//! What was sent, answered and run, with times in seconds since the start of the case.

use std::{
    collections::BTreeMap,
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    begin: Instant,
    file: Mutex<File>,
    started: Mutex<BTreeMap<String, Vec<(Duration, &'static str)>>>,
    ended: Mutex<Vec<(String, &'static str, Duration)>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            begin: Instant::now(),
            file: Mutex::new(File::create(path)?),
            started: Mutex::default(),
            ended: Mutex::default(),
        })
    }

    pub fn now(&self) -> Duration {
        self.begin.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("no holder panics");
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// A worker of a kind has begun a task.
    pub fn started(&self, task: &str, kind: &'static str) {
        let mut started = self.started.lock().expect("no holder panics");
        started
            .entry(task.to_owned())
            .or_default()
            .push((self.now(), kind));
    }

    /// A run of a task has ended.
    pub fn ended(&self, task: &str, how: &'static str) {
        let mut ended = self.ended.lock().expect("no holder panics");
        ended.push((task.to_owned(), how, self.now()));
    }

    /// When tasks of a job were started, and on which kind of worker.
    pub fn starts_of(&self, job: &str) -> Vec<(Duration, &'static str)> {
        let started = self.started.lock().expect("no holder panics");
        let of = started.iter().filter(|(task, _at)| task.starts_with(job));
        of.flat_map(|(_task, at)| at.clone()).collect()
    }

    /// The ends that were of this kind.
    pub fn ends(&self, how: &str) -> Vec<(String, Duration)> {
        let ended = self.ended.lock().expect("no holder panics");
        let of = ended.iter().filter(|(_task, kind, _at)| *kind == how);
        of.map(|(task, _kind, at)| (task.clone(), *at)).collect()
    }
}
