//! One question to the advice service.

use crate::{clock::Clock, event::Event};
use log::{debug, info};
use primroseroute_cell::{AdviceRequest, Millis};
use primroseroute_platform::advice::Advisor;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;

/// Asks, and tells the pool's loop what came of it.
pub(crate) async fn ask(
    advisor: Arc<dyn Advisor>,
    clock: Clock,
    question: AdviceRequest,
    events: UnboundedSender<Event>,
) {
    let sent_at = clock.now();
    let step = &question.step;
    let asked = question.workers.len();
    let answer = match advisor.advise(step, &question.workers).await {
        Ok(advice) => {
            let took_ms = clock.now() - sent_at;
            info!(step:% = step, asked, allowed = advice.tickets.len(), took_ms; "advice given");
            let valid = Millis::try_from(advice.valid.as_millis()).unwrap_or(Millis::MAX);
            Some((advice.tickets, valid))
        }
        Err(error) => {
            info!(step:% = step, asked, error:% = error; "no advice");
            None
        }
    };
    let event = Event::Advised {
        question,
        answer,
        sent_at,
    };
    if events.send(event).is_err() {
        debug!("the pool's loop has ended");
    }
}
