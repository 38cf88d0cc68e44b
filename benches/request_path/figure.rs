//! Figures, their goals, and the sheet that shows them.

use comfy_table::{Table, presets::ASCII_MARKDOWN};
use eyre::Result;
use serde::Serialize;
use std::{fs, thread};

/// What a figure should reach.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Goal {
    /// No more than this.
    AtMost(f64),
    /// No less than this.
    AtLeast(f64),
}

impl Goal {
    fn is_met(self, value: f64) -> bool {
        match self {
            Self::AtMost(most) => value <= most,
            Self::AtLeast(least) => value >= least,
        }
    }

    fn text(self) -> String {
        match self {
            Self::AtMost(most) => format!("<= {most}"),
            Self::AtLeast(least) => format!(">= {least}"),
        }
    }
}

/// One measured figure.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    name: String,
    unit: &'static str,
    goal: Option<Goal>,
    value: f64,
}

impl Figure {
    /// A figure without a goal.
    pub fn new(name: impl Into<String>, unit: &'static str, value: f64) -> Self {
        Self {
            name: name.into(),
            unit,
            goal: None,
            value,
        }
    }

    /// The same with a goal.
    pub fn with(self, goal: Goal) -> Self {
        Self {
            goal: Some(goal),
            ..self
        }
    }
}

/// One figure over all runs.
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

/// All figures of one call of the benchmark.
#[derive(Debug, Serialize)]
pub struct Sheet {
    cores: usize,
    /// The machine's load average over a minute, before the benchmark added to it.
    load_before: String,
    lines: Vec<Line>,
}

impl Sheet {
    /// An empty sheet.
    pub fn open() -> Result<Self> {
        let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
        Ok(Self {
            cores: thread::available_parallelism()?.get(),
            load_before: load.split(' ').next().unwrap_or_default().to_owned(),
            lines: Vec::new(),
        })
    }

    /// Adds the figures of one part of one run.
    pub fn add(&mut self, figures: Vec<Figure>) {
        for figure in figures {
            let line = self.lines.iter_mut().find(|line| line.name == figure.name);
            match line {
                Some(line) => line.values.push(figure.value),
                None => self.lines.push(Line {
                    name: figure.name,
                    unit: figure.unit,
                    goal: figure.goal,
                    values: vec![figure.value],
                }),
            }
        }
    }

    /// The figures for people.
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

    /// The figures for programs.
    pub fn json(&self) -> Result<String> {
        Ok(serde_json::to_string_pretty(self)?)
    }
}
