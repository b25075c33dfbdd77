//! Calls to the other instances: to hold work back from an engine, and to ask for the outcome of an order.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use futures_util::future::join;
use futures_util::future::join_all;
use sequoiastream_core::authority::Event;
use sequoiastream_core::authority::HoldAnswer;
use sequoiastream_core::name::Name;
use sequoiastream_kv::KvClient;
use sequoiastream_peer::call::CallClient;
use sequoiastream_peer::message::Hold;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;
use sequoiastream_peer::message::SettleOrder;
use tokio::time::timeout;

use crate::ops::control::authority::AskSettlement;
use crate::ops::control::load::LoadActor;
use crate::ops::control::load::RefreshLoad;
use crate::ops::shared::Shared;
use crate::util::clock;

/// Removes the hold on `engine` from this instance, and waits for a new load report of it.
///
/// Guards against an instance that sends the engine no requests although its change has ended, because its last report
/// was taken during the change.
pub async fn unhold(shared: &Shared, load: &Addr<LoadActor>, engine: Name) {
    shared.unhold(&engine);
    if let Err(error) = load.send(RefreshLoad(engine)).await {
        tracing::debug!(%error, "load reports have ended");
    }
}

/// Client for calls to the other instances.
pub struct PeerClient {
    shared: Arc<Shared>,
    load: Addr<LoadActor>,
    kv: KvClient,
    call_client: CallClient,
}

impl PeerClient {
    /// Creates a client that calls through `call_client`.
    pub fn new(
        shared: Arc<Shared>,
        load: Addr<LoadActor>,
        kv: KvClient,
        call_client: CallClient,
    ) -> PeerClient {
        PeerClient {
            shared,
            load,
            kv,
            call_client,
        }
    }

    /// Asks all listed instances to route no new requests to `engine` for `time`, and collects their numbers of
    /// requests in flight. `None` if the instances are unknown. An instance that does not answer within a tenth of
    /// `time` counts as missing.
    pub async fn hold(&self, engine: Name, time: Duration) -> Option<Event> {
        let others = self.others().await?;
        let asked = clock::now();
        let own = self.shared.hold(engine.clone(), asked + time);
        let request = Request::Hold(Hold {
            engine: engine.clone(),
            millis: u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
        });
        let calls = others.iter().map(|(name, address)| {
            let request = &request;
            async move {
                let answer = self.call_client.call(*address, request, time / 10).await;
                let answer = match answer {
                    Ok(Response::InFlight(count)) => HoldAnswer::InFlight(count),
                    _ => HoldAnswer::Missing,
                };
                (name.clone(), answer)
            }
        });
        let mut answers: BTreeMap<Name, HoldAnswer> = join_all(calls).await.into_iter().collect();
        answers.insert(self.shared.settings.name.clone(), HoldAnswer::InFlight(own));
        Some(Event::HoldAnswered {
            engine,
            asked,
            done: clock::now(),
            answers,
        })
    }

    /// Tells all listed instances that `engine` may get requests again, and waits until they use it. If a call fails,
    /// the hold of that instance expires.
    pub async fn unhold(&self, engine: Name) -> Event {
        let limit = self.shared.settings.lease_ttl / 10;
        let request = Request::Unhold(engine.clone());
        let own = timeout(limit, unhold(&self.shared, &self.load, engine.clone()));
        let others = async {
            let others = self.others().await.unwrap_or_default();
            let calls = others
                .values()
                .map(|address| self.call_client.call(*address, &request, limit));
            join_all(calls).await;
        };
        let (own, ()) = join(own, others).await;
        if own.is_err() {
            tracing::debug!(%engine, "no load report after a change");
        }
        Event::Unheld(engine)
    }

    /// Asks the instance that opened an order for its outcome. `None` if the instance is unknown or did not answer.
    pub async fn ask_settlement(&self, holder: &Name, query: AskSettlement) -> Option<Event> {
        let others = self.others().await?;
        let address = others.get(holder)?;
        let request = Request::Settle(SettleOrder {
            service: query.service,
            incarnation: query.incarnation,
            engine: query.engine.clone(),
            sequence: query.sequence,
        });
        let timeout = self.shared.settings.lease_ttl / 10;
        match self.call_client.call(*address, &request, timeout).await {
            Ok(Response::Settled(settlement)) => Some(Event::Settled {
                engine: query.engine,
                sequence: query.sequence,
                settlement,
            }),
            _ => None,
        }
    }

    /// The other instances and their addresses. If none is known yet, the platform's list is read: an instance that is
    /// left out would route requests to an engine that is being changed. `None` if the list cannot be read.
    async fn others(&self) -> Option<BTreeMap<Name, SocketAddr>> {
        let roster = self.shared.roster();
        if !roster.peers.is_empty() {
            return Some(
                roster
                    .peers
                    .iter()
                    .map(|p| (p.name.clone(), p.peer_address))
                    .collect(),
            );
        }
        let list = self.kv.instances().await.ok()?;
        let others = list.into_iter().filter(|l| l.name != self.shared.settings.name);
        Some(others.filter_map(|l| Some((l.name, l.peer?))).collect())
    }
}
