//! Measurements, their goals, and the table and JSON of all results.

use comfy_table::{Table, presets::ASCII_MARKDOWN};
use eyre::Result;
use serde::Serialize;
use std::{fs, thread};

/// The goal of a measurement.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Goal {
    /// Not above this value.
    AtMost(f64),
    /// Not below this value.
    AtLeast(f64),
}

impl Goal {
    fn is_met(self, value: f64) -> bool {
        match self {
            Self::AtMost(max) => value <= max,
            Self::AtLeast(min) => value >= min,
        }
    }

    fn text(self) -> String {
        match self {
            Self::AtMost(max) => format!("<= {max}"),
            Self::AtLeast(min) => format!(">= {min}"),
        }
    }
}

/// One measured value.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    name: String,
    unit: &'static str,
    goal: Option<Goal>,
    value: f64,
}

impl Measurement {
    /// A measurement without a goal.
    pub fn new(name: impl Into<String>, unit: &'static str, value: f64) -> Self {
        Self {
            name: name.into(),
            unit,
            goal: None,
            value,
        }
    }

    /// Sets the goal.
    pub fn with_goal(self, goal: Goal) -> Self {
        Self {
            goal: Some(goal),
            ..self
        }
    }
}

/// The values of one measurement over all runs.
#[derive(Debug, Serialize)]
struct Line {
    name: String,
    unit: &'static str,
    goal: Option<Goal>,
    values: Vec<f64>,
}

impl Line {
    fn median(&self) -> f64 {
        let mut sorted = self.values.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() / 2]
    }

    fn row(&self) -> Vec<String> {
        let all: Vec<String> = self
            .values
            .iter()
            .map(|value| format!("{value:.3}"))
            .collect();
        vec![
            self.name.clone(),
            self.unit.to_owned(),
            all.join(" / "),
            format!("{:.3}", self.median()),
            self.goal.map_or_else(String::new, Goal::text),
            self.goal
                .map_or("", |goal| {
                    let met = self
                        .values
                        .iter()
                        .filter(|value| goal.is_met(**value))
                        .count();
                    match met {
                        0 => "no",
                        met if met == self.values.len() => "yes",
                        _ => "in some runs",
                    }
                })
                .to_owned(),
        ]
    }
}

/// All results of one invocation of the benchmark.
#[derive(Debug, Serialize)]
pub struct Results {
    cores: usize,
    /// The machine's one-minute load average before the benchmark started.
    load_before: String,
    lines: Vec<Line>,
}

impl Results {
    /// Creates an empty set of results.
    pub fn new() -> Result<Self> {
        let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
        Ok(Self {
            cores: thread::available_parallelism()?.get(),
            load_before: load.split(' ').next().unwrap_or_default().to_owned(),
            lines: Vec::new(),
        })
    }

    /// Adds the measurements of one part of one run.
    pub fn add(&mut self, measurements: Vec<Measurement>) {
        for measurement in measurements {
            let line = self
                .lines
                .iter_mut()
                .find(|line| line.name == measurement.name);
            match line {
                Some(line) => line.values.push(measurement.value),
                None => self.lines.push(Line {
                    name: measurement.name,
                    unit: measurement.unit,
                    goal: measurement.goal,
                    values: vec![measurement.value],
                }),
            }
        }
    }

    /// The results as a text table.
    pub fn table(&self) -> String {
        let mut table = Table::new();
        table
            .load_preset(ASCII_MARKDOWN)
            .set_header(["figure", "unit", "each run", "median", "goal", "met"]);
        for line in &self.lines {
            table.add_row(line.row());
        }
        let (cores, load) = (self.cores, &self.load_before);
        format!("{cores} cores, load average {load} before the start\n\n{table}")
    }

    /// The results as JSON.
    pub fn json(&self) -> Result<String> {
        Ok(serde_json::to_string_pretty(self)?)
    }
}
