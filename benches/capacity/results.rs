//! Results by size over all runs, with linear fits.

use comfy_table::{Table, presets::ASCII_MARKDOWN};
use eyre::Result;
use primroseroute_capacity::{LinearFit, Size};
use serde::Serialize;
use std::{collections::BTreeMap, fs, thread};

/// One measured value.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    pub name: &'static str,
    pub unit: &'static str,
    pub value: f64,
}

impl Measurement {
    pub fn new(name: &'static str, unit: &'static str, value: f64) -> Self {
        Self { name, unit, value }
    }
}

/// The values of one measurement at one size, over all runs.
#[derive(Debug, Serialize)]
struct Point {
    size: Size,
    values: Vec<f64>,
}

impl Point {
    fn sorted(&self) -> Vec<f64> {
        let mut sorted = self.values.clone();
        sorted.sort_by(f64::total_cmp);
        sorted
    }

    fn median(&self) -> f64 {
        self.sorted()[self.values.len() / 2]
    }

    fn text(&self) -> String {
        let sorted = self.sorted();
        let (min, max) = (sorted[0], sorted[sorted.len() - 1]);
        let median = self.median();
        if (max - min).abs() < f64::EPSILON {
            format!("{median:.3}")
        } else {
            format!("{median:.3} ({min:.3} to {max:.3})")
        }
    }
}

/// One measurement at all sizes.
#[derive(Debug, Serialize)]
struct Row {
    name: &'static str,
    unit: &'static str,
    points: Vec<Point>,
    /// The fit over the workers, at the largest number of entries.
    by_workers: Option<LinearFit>,
    /// The fit over the entries, at the largest number of workers.
    by_entries: Option<LinearFit>,
}

impl Row {
    fn max_by(&self, of: fn(Size) -> usize) -> usize {
        let sizes = self.points.iter().map(|point| of(point.size));
        sizes.max().unwrap_or(0)
    }

    fn fit(&mut self) {
        let (entries, workers) = (self.max_by(|s| s.entries), self.max_by(|s| s.workers));
        let at = |point: &Point, x: usize| (x as f64, point.median());
        let points = self.points.iter();
        let by_workers: Vec<_> = points
            .filter(|point| point.size.entries == entries)
            .map(|point| at(point, point.size.workers))
            .collect();
        let points = self.points.iter();
        let by_entries: Vec<_> = points
            .filter(|point| point.size.workers == workers)
            .map(|point| at(point, point.size.entries))
            .collect();
        self.by_workers = LinearFit::new(&by_workers);
        self.by_entries = LinearFit::new(&by_entries);
    }
}

/// All results of one invocation of the benchmark.
#[derive(Debug, Serialize)]
pub struct Results {
    cores: usize,
    /// The machine's one-minute load average before the benchmark started.
    load_before: String,
    rows: Vec<Row>,
}

impl Results {
    pub fn new() -> Result<Self> {
        let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
        Ok(Self {
            cores: thread::available_parallelism()?.get(),
            load_before: load.split(' ').next().unwrap_or_default().to_owned(),
            rows: Vec::new(),
        })
    }

    /// Adds the measurements of one size in one run.
    pub fn add(&mut self, size: Size, measurements: &[Measurement]) {
        for measurement in measurements {
            let row = self.row(measurement);
            let point = row.points.iter_mut().find(|point| point.size == size);
            match point {
                Some(point) => point.values.push(measurement.value),
                None => row.points.push(Point {
                    size,
                    values: vec![measurement.value],
                }),
            }
        }
    }

    fn row(&mut self, measurement: &Measurement) -> &mut Row {
        let position = self
            .rows
            .iter()
            .position(|row| row.name == measurement.name);
        let index = position.unwrap_or_else(|| {
            self.rows.push(Row {
                name: measurement.name,
                unit: measurement.unit,
                points: Vec::new(),
                by_workers: None,
                by_entries: None,
            });
            self.rows.len() - 1
        });
        &mut self.rows[index]
    }

    /// Computes the linear fits.
    pub fn fit(&mut self) {
        for row in &mut self.rows {
            row.fit();
        }
    }

    /// The results as text: one table per measurement, with a row per number of workers and a column per
    /// number of entries.
    pub fn tables(&self) -> String {
        let (cores, load) = (self.cores, &self.load_before);
        let head = format!("{cores} cores, load average {load} before the start\n");
        let tables = self.rows.iter().map(table);
        [head]
            .into_iter()
            .chain(tables)
            .collect::<Vec<_>>()
            .join("\n")
    }

    /// The results as JSON.
    pub fn json(&self) -> Result<String> {
        Ok(serde_json::to_string_pretty(self)?)
    }
}

fn table(row: &Row) -> String {
    let mut by_workers: BTreeMap<usize, Vec<String>> = BTreeMap::new();
    let mut entries = Vec::new();
    for point in &row.points {
        let cells = by_workers.entry(point.size.workers).or_default();
        cells.push(point.text());
        if !entries.contains(&point.size.entries) {
            entries.push(point.size.entries);
        }
    }
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    let head = entries.iter().map(|count| format!("{count} entries"));
    table.set_header(["workers".to_owned()].into_iter().chain(head));
    for (workers, cells) in by_workers {
        table.add_row([workers.to_string()].into_iter().chain(cells));
    }
    let line = |of: &str, line: Option<LinearFit>| {
        line.map_or_else(String::new, |line| {
            let LinearFit { base, slope, fit } = line;
            format!("; by {of}: {base:.4} + {slope:.6} x (R2 {fit:.3})")
        })
    };
    let (name, unit) = (row.name, row.unit);
    let lines = [
        line("workers", row.by_workers),
        line("entries", row.by_entries),
    ]
    .concat();
    format!("{name} [{unit}]{lines}\n{table}\n")
}
