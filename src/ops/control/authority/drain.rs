//! Asking the other instances: to keep work from an engine, and what became of an order.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use sequoiastream_core::authority::Event;
use sequoiastream_core::authority::HoldAnswer;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;
use sequoiastream_peer::call::CallClient;
use sequoiastream_peer::message::Hold;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;
use sequoiastream_peer::message::SettleOrder;
use sequoiastream_platform::KvClient;
use sequoiastream_platform::Listed;

use crate::ops::control::authority::Settle;
use crate::ops::shared::Shared;
use crate::util::clock;

/// Age after which the platform's list is read again.
const LIST_AGE: Duration = Duration::from_secs(3);

/// The other instances, as the platform lists them.
pub struct Peers {
    shared: Arc<Shared>,
    kv: KvClient,
    client: CallClient,
    list: RefCell<Option<(Time, Vec<Listed>)>>,
}

impl Peers {
    /// Knows no instance yet.
    pub fn new(shared: Arc<Shared>, kv: KvClient, client: CallClient) -> Peers {
        Peers {
            shared,
            kv,
            client,
            list: RefCell::new(None),
        }
    }

    /// Asks all listed instances to keep work from `engine` for `time`; `None` if there is no list.
    pub async fn hold(&self, engine: Name, time: Duration) -> Option<Event> {
        let others = self.others().await?;
        let asked = clock::now();
        let own = self.shared.hold(engine.clone(), asked + time);
        let request = Request::Hold(Hold {
            engine: engine.clone(),
            millis: u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
        });
        let asks = others.iter().map(|(name, address)| {
            let request = &request;
            async move {
                let answer = self.client.call(*address, request, time / 10).await;
                let answer = match answer {
                    Ok(Response::InFlight(count)) => HoldAnswer::InFlight(count),
                    _ => HoldAnswer::Missing,
                };
                (name.clone(), answer)
            }
        });
        let mut answers: BTreeMap<Name, HoldAnswer> = join_all(asks).await.into_iter().collect();
        answers.insert(self.shared.settings.name.clone(), HoldAnswer::InFlight(own));
        Some(Event::Held {
            engine,
            asked,
            done: clock::now(),
            answers,
        })
    }

    /// Tells all listed instances that `engine` may get work again. Where this fails the hold lapses.
    pub async fn unhold(&self, engine: Name) {
        self.shared.unhold(&engine);
        let others = self.others().await.unwrap_or_default();
        let limit = self.shared.settings.lease / 10;
        let request = Request::Unhold(engine);
        let asks = others
            .values()
            .map(|address| self.client.call(*address, &request, limit));
        join_all(asks).await;
    }

    /// Asks the instance that opened an order what became of it.
    pub async fn ask(&self, holder: &Name, ask: Settle) -> Option<Event> {
        let others = self.others().await?;
        let address = others.get(holder)?;
        let request = Request::Settle(SettleOrder {
            service: ask.service,
            incarnation: ask.incarnation,
            engine: ask.engine.clone(),
            sequence: ask.sequence,
        });
        let limit = self.shared.settings.lease / 10;
        match self.client.call(*address, &request, limit).await {
            Ok(Response::Settled(settlement)) => Some(Event::Settled {
                engine: ask.engine,
                sequence: ask.sequence,
                settlement,
            }),
            _ => None,
        }
    }

    async fn others(&self) -> Option<BTreeMap<Name, SocketAddr>> {
        let old = self
            .list
            .borrow()
            .as_ref()
            .is_none_or(|(at, _)| clock::now() >= *at + LIST_AGE);
        if old && let Ok(list) = self.kv.instances().await {
            *self.list.borrow_mut() = Some((clock::now(), list));
        }
        let list = self.list.borrow();
        let (_, list) = list.as_ref()?;
        let others = list
            .iter()
            .filter(|listed| listed.name != self.shared.settings.name);
        Some(others.filter_map(|l| Some((l.name.clone(), l.peer?))).collect())
    }
}
