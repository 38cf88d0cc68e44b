//! The trail, replayed.

use crate::{
    report::{Period, Report},
    rows::Rows,
    series::Series,
    tally::Tally,
};
use primroseroute_domain::{
    change::{Record, Seq},
    time::Instant,
};
use primroseroute_fleet::placement::Weights;
use std::sync::Arc;

/// Why a trail cannot be replayed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A record is missing.
    #[error("the trail has change {found} where change {expected} should be")]
    Gap {
        /// The place that should come next.
        expected: Seq,
        /// The place that came.
        found: Seq,
    },
    /// A row of a record cannot be read.
    #[error("change {seq} holds a row `{key}` that cannot be read: {detail}")]
    Corrupt {
        /// The record.
        seq: Seq,
        /// The row's key.
        key: Arc<str>,
        /// What is wrong with it.
        detail: String,
    },
}

/// What a replay found.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    /// The figures.
    pub report: Report,
    /// Instances over time.
    pub series: Series,
}

/// A replay under way.
#[derive(Clone, Debug)]
pub struct Replay {
    period: Period,
    weights: Weights,
    /// The last record taken.
    seq: Seq,
    /// Its time, never earlier than that of the one before.
    at: Instant,
    rows: Rows,
    /// None before the period.
    tally: Option<Tally>,
}

impl Replay {
    /// A replay for `period` that begins with the trail's first change.
    ///
    /// `weights` are the deployment's; only the lower bound of the buffer cost depends on them.
    pub fn open(period: Period, weights: Weights) -> Self {
        let to = period.to.max(period.from);
        Self {
            period: Period { to, ..period },
            weights,
            seq: Seq(0),
            at: Instant(0),
            rows: Rows::default(),
            tally: None,
        }
    }

    /// The last record taken; read on from here.
    pub fn read_to(&self) -> Seq {
        self.seq
    }

    /// Whether the last record taken lies after the period, so that later ones change nothing.
    pub fn is_past(&self) -> bool {
        self.at >= self.period.to
    }

    /// Takes the next record of the trail.
    ///
    /// # Errors
    /// [`Error`]; the replay is then of no more use.
    pub fn take(&mut self, record: &Record) -> Result<(), Error> {
        let expected = self.seq.next();
        if record.seq != expected {
            return Err(Error::Gap {
                expected,
                found: record.seq,
            });
        }
        self.seq = record.seq;
        self.at = self.at.max(record.at);
        if self.is_past() {
            return Ok(());
        }
        if self.at <= self.period.from {
            return self.rows.amend(record);
        }
        self.change(record)
    }

    fn change(&mut self, record: &Record) -> Result<(), Error> {
        let (rows, at) = (&mut self.rows, self.at);
        let (from, weights) = (self.period.from, self.weights);
        let tally = self
            .tally
            .get_or_insert_with(|| Tally::begin(rows, from, weights));
        tally.pass(rows, at);
        let before = rows.fleet.clone();
        rows.amend(record)?;
        tally.change(&before, rows, at);
        Ok(())
    }

    /// Ends the replay with the records taken so far.
    pub fn end(self) -> Found {
        let Self {
            period,
            weights,
            rows,
            tally,
            ..
        } = self;
        let tally = tally.unwrap_or_else(|| Tally::begin(&rows, period.from, weights));
        let (report, series) = tally.end(&rows, period);
        Found { report, series }
    }
}
