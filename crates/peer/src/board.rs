//! The latest report of each peer, and which incarnation of a peer may still speak.

use crate::report::{Identity, Report, Sighting};
use primroseroute_domain::id;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use uuid::Uuid;

/// Past incarnations remembered for a peer: far more than one machine restarts while a paused
/// process of it could still wake up.
const PAST: usize = 16;

/// A former incarnation of a peer tried to speak.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a later incarnation of `{0}` has been seen")]
pub struct Superseded(pub id::Entry);

#[derive(Clone, Debug)]
struct Place {
    current: Uuid,
    past: VecDeque<Uuid>,
    latest: Option<(Report, Duration)>,
}

/// What this entry knows of its peers. Times are since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Board {
    places: BTreeMap<id::Entry, Place>,
}

impl Board {
    /// Admits an authenticated peer, whose earlier incarnations and their reports end with this.
    ///
    /// A process that was paused while its machine's name passed to a successor wakes up and
    /// reports drains and load of long ago. An incarnation that was once replaced is therefore
    /// never admitted again.
    ///
    /// # Errors
    /// [`Superseded`] where a later incarnation was admitted before.
    pub fn admit(&mut self, peer: &Identity) -> Result<(), Superseded> {
        let Some(place) = self.places.get_mut(&peer.entry) else {
            let place = Place {
                current: peer.incarnation,
                past: VecDeque::new(),
                latest: None,
            };
            self.places.insert(peer.entry.clone(), place);
            return Ok(());
        };
        if place.current == peer.incarnation {
            return Ok(());
        }
        if place.past.contains(&peer.incarnation) {
            return Err(Superseded(peer.entry.clone()));
        }
        if place.past.len() == PAST {
            place.past.pop_front();
        }
        place.past.push_back(place.current);
        place.current = peer.incarnation;
        place.latest = None;
        Ok(())
    }

    /// Keeps `report` if its sender is admitted and no later one of it was kept; says whether.
    pub fn keep(&mut self, report: Report, now: Duration) -> bool {
        let Some(place) = self.places.get_mut(&report.from.entry) else {
            return false;
        };
        let late = place
            .latest
            .as_ref()
            .is_some_and(|(latest, _)| latest.number >= report.number);
        if place.current != report.from.incarnation || late {
            return false;
        }
        place.latest = Some((report, now));
        true
    }

    /// The latest report of each peer, in the order of their names.
    pub fn sightings(&self, now: Duration) -> Vec<Sighting> {
        let latest = self
            .places
            .values()
            .filter_map(|place| place.latest.as_ref());
        latest
            .map(|(report, heard)| Sighting {
                report: report.clone(),
                age: now.saturating_sub(*heard),
            })
            .collect()
    }
}
