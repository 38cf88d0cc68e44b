//! One request to the advice service.

use crate::{clock::Clock, event::Event};
use log::{debug, info};
use primroseroute_cell::{AdviceRequest, Millis};
use primroseroute_platform::advice::Advisor;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;

/// Requests advice, and sends the answer to the pool's loop.
pub(crate) async fn request_advice(
    advisor: Arc<dyn Advisor>,
    clock: Clock,
    request: AdviceRequest,
    events: UnboundedSender<Event>,
) {
    let sent_at = clock.now();
    let step = &request.step;
    let asked = request.workers.len();
    let answer = match advisor.advise(step, &request.workers).await {
        Ok(advice) => {
            let took_ms = clock.now() - sent_at;
            info!(step:% = step, asked, allowed = advice.tickets.len(), took_ms; "advice received");
            let valid = Millis::try_from(advice.valid.as_millis()).unwrap_or(Millis::MAX);
            Some((advice.tickets, valid))
        }
        Err(error) => {
            info!(step:% = step, asked, error:% = error; "advice request failed");
            None
        }
    };
    let event = Event::Advice {
        request,
        answer,
        sent_at,
    };
    if events.send(event).is_err() {
        debug!("the pool's loop has ended");
    }
}
