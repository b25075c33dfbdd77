//! Requests to the engines: for their reports, and to carry out orders.

use std::time::Duration;

use actix::Context;
use sequoiastream_core::authority::Event;
use sequoiastream_core::authority::OrderAnswer;
use sequoiastream_core::authority::Report;
use sequoiastream_core::authority::SendOrder;
use sequoiastream_core::engine::Target;
use sequoiastream_core::log_event;
use sequoiastream_core::name::Name;
use sequoiastream_upstream::UpstreamError;
use sequoiastream_upstream::wire::LoadBody;
use sequoiastream_upstream::wire::OrderBody;

use crate::log_event;
use crate::ops::control::authority::AuthorityActor;
use crate::util::clock;

impl AuthorityActor {
    /// Requests an engine's report. A probe that fails yields no event.
    pub(super) fn probe(&mut self, service: &Name, engine: Name, context: &mut Context<Self>) {
        let Some(address) = self.engine_address(&engine) else {
            return;
        };
        let engines = self.engines.clone();
        let probe = async move {
            let sent = clock::now();
            let body = engines.load(address).await.ok()?;
            let report = engine_report(&body, sent);
            Some(Event::Reported { engine, report })
        };
        self.spawn_optional(service, probe, context);
    }

    /// Sends an order, unless its deadline has passed.
    ///
    /// Failure guarded against: the process was paused after the decision, and another instance holds the authority by
    /// now. The deadline is checked immediately before the send. A pause between the check and the send is covered by
    /// the record of the order, which is still open.
    pub(super) fn send_order(&mut self, service: &Name, send: SendOrder, context: &mut Context<Self>) {
        let address = self.engine_address(&send.engine);
        let engines = self.engines.clone();
        let metrics = self.shared.metrics.authority.clone();
        let order = OrderBody {
            fence: send.order.fence.0,
            sequence: send.order.sequence,
            id: send.order.id,
            target: send.order.target.clone(),
        };
        log_event!(
            info,
            log_event::ORDER_SENT,
            engine = %send.engine,
            sequence = order.sequence,
            fence = order.fence
        );
        let run = async move {
            let answer = match address {
                Some(address) if clock::now() < send.deadline => {
                    order_answer(engines.order(address, &order).await)
                }
                _ => OrderAnswer::Unsent,
            };
            metrics.count_order(answer);
            Event::Answered {
                call: send.call,
                engine: send.engine,
                answer,
            }
        };
        self.spawn_event(service, run, context);
    }

    /// The address of an engine; `None` if the configuration does not contain it.
    fn engine_address(&self, engine: &Name) -> Option<std::net::SocketAddr> {
        let snapshot = self.shared.snapshot.load();
        let found = snapshot.engines.iter().find(|(_, e)| e.name == *engine);
        found.map(|(_, e)| e.address)
    }
}

/// Converts a load response to a report. `sent` is when the request was sent, so that the report is never taken for
/// newer than it is; `body.age` is in milliseconds.
fn engine_report(body: &LoadBody, sent: sequoiastream_core::time::Time) -> Report {
    Report {
        target: Target {
            role: body.role,
            model: body.model.clone(),
            adapter: body.adapter.clone(),
            version: body.version,
        },
        away: body.away,
        idle: body.running == 0 && body.queued == 0,
        sequence: body.sequence,
        taken_at: sent - Duration::from_millis(body.age),
    }
}

/// Converts the result of sending an order.
fn order_answer(result: Result<(), UpstreamError>) -> OrderAnswer {
    match result {
        Ok(()) => OrderAnswer::Applied,
        Err(UpstreamError::Stale(fence)) => OrderAnswer::Stale(sequoiastream_core::authority::Fence(fence)),
        Err(error) => {
            log_event!(warn, log_event::ORDER_UNANSWERED, %error);
            match error.is_not_started() {
                true => OrderAnswer::Unsent,
                false => OrderAnswer::Unknown,
            }
        }
    }
}
