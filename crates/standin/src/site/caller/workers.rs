//! An entry's calls to workers.

use super::{Caller, ORDER_TIMEOUT};
use crate::site::{
    CallerFaults, Reach, State, is_allowed,
    state::millis,
    worker::{Stop, Ticket},
};
use async_trait::async_trait;
use primroseroute_domain::work::{Name, StepId, TaskId};
use primroseroute_platform::{
    Error,
    advice::{Advice, Advisor},
    worker::{Answer, LeaseRenewal, PollOutcome, Refusal, Start, Target, Workers},
};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Response time of the advice service: for a request, and for each worker that it names.
const ADVICE_TIME: (Duration, Duration) = (Duration::from_millis(30), Duration::from_millis(1));

const TICKET_VALIDITY: Duration = Duration::from_secs(3);

#[async_trait]
impl Advisor for Caller {
    async fn advise(&self, step: &StepId, workers: &[Name]) -> Result<Advice, Error> {
        self.wait_until_running().await;
        self.wait_half_latency().await;
        if self.faults().advice != Reach::Fine {
            return Err(Error::Unavailable("503".into()));
        }
        let (decide, each) = ADVICE_TIME;
        sleep(decide + each * u32::try_from(workers.len()).unwrap_or(u32::MAX)).await;
        let until = self.shared.now() + millis(TICKET_VALIDITY);
        let step = step.to_string();
        let allowed = workers.iter().filter(|worker| is_allowed(worker));
        let tickets = allowed.map(|worker| {
            let worker = Name::clone(worker);
            let ticket = Ticket {
                step: &step,
                worker: &worker,
                until,
            };
            let ticket = Name::from(ticket.to_string());
            (worker, ticket)
        });
        let tickets = tickets.collect();
        self.receive().await;
        Ok(Advice {
            tickets,
            valid: TICKET_VALIDITY,
        })
    }
}

#[async_trait]
impl Workers for Caller {
    async fn start(&self, target: &Target, start: &Start) -> Result<Answer, Error> {
        let start = start.clone();
        let id = Name::clone(&target.id);
        let longest = millis(self.shared.options.longest_lease);
        let order = move |state: &mut State, now| {
            let State {
                workers, journal, ..
            } = state;
            match workers.get_mut(&id) {
                Some(worker) if worker.alive => worker.start(&start, longest, now, journal),
                _ => Answer::Gone,
            }
        };
        self.order(target, CallerFaults::late_order, order).await
    }

    async fn stop(
        &self,
        target: &Target,
        task: &TaskId,
        run: u32,
        token: u64,
    ) -> Result<Answer, Error> {
        let id = Name::clone(&target.id);
        let task = task.clone();
        let duration = millis(self.shared.options.stop);
        let timely_until = self.shared.now() + millis(ORDER_TIMEOUT);
        let order = move |state: &mut State, now| {
            let State {
                workers, journal, ..
            } = state;
            match workers.get_mut(&id) {
                Some(worker) if worker.alive => {
                    let stop = Stop {
                        token,
                        duration,
                        late: now > timely_until,
                    };
                    worker.stop((&task, run), stop, now, journal)
                }
                _ => Answer::Gone,
            }
        };
        self.order(target, CallerFaults::late_stop, order).await
    }

    async fn renew(&self, target: &Target, renewal: LeaseRenewal) -> Result<PollOutcome, Error> {
        self.send_to_worker(target).await?;
        let id = Name::clone(&target.id);
        let longest = millis(self.shared.options.longest_lease);
        let renewed = self.shared.change(|state, now| {
            let State {
                workers, journal, ..
            } = state;
            let worker = workers.get_mut(&id)?;
            let born = worker.info.born;
            let responds = worker.can_respond();
            Some((
                worker.renew(&renewal, longest, now, journal),
                responds,
                born,
            ))
        });
        let born = match renewed {
            None => return Ok(PollOutcome::Gone),
            Some((false, true, _born)) => return Ok(PollOutcome::Refused(Refusal::Fenced)),
            Some((_accepted, _responds, born)) => born,
        };
        let until = Instant::now() + renewal.wait;
        loop {
            let (ready, next) = self.shared.change(|state, _now| {
                let worker = &state.workers[&id];
                let terminated = !worker.alive || worker.info.born != born;
                (
                    worker.has_unacknowledged_ends() || terminated,
                    worker.next_end_at(),
                )
            });
            if ready || Instant::now() >= until {
                break;
            }
            let next = next.map(|at| self.shared.start + Duration::from_millis(at));
            let wake = next.unwrap_or(until).min(until);
            // A run may end earlier than expected, for example by a stop.
            let next_check = Instant::now() + Duration::from_millis(50);
            sleep_until(
                wake.min(next_check)
                    .max(Instant::now() + Duration::from_millis(1)),
            )
            .await;
        }
        let (status, reachable) = self.shared.change(|state, now| {
            let worker = &state.workers[&id];
            let running = worker.alive && worker.info.born == born;
            (worker.status(now), running && worker.can_respond())
        });
        if !reachable {
            sleep(ORDER_TIMEOUT).await;
            return Err(Error::Unknown("no answer".into()));
        }
        self.receive().await;
        Ok(PollOutcome::Status(status))
    }

    async fn throttle(
        &self,
        target: &Target,
        _task: &TaskId,
        _run: u32,
        _percent: u32,
        _token: u64,
    ) -> Result<Answer, Error> {
        let order = |_state: &mut State, _now| Answer::Done;
        self.order(target, CallerFaults::late_order, order).await
    }
}
