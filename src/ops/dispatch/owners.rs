//! Asking the owners of claims.

use std::iter::once;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::Either;
use futures_util::future::select;
use sequoiastream_core::claims::BucketId;
use sequoiastream_core::claims::Candidate;
use sequoiastream_core::claims::ClaimRef;
use sequoiastream_core::claims::ClaimRequest;
use sequoiastream_core::claims::Edit;
use sequoiastream_core::claims::EntryEvent;
use sequoiastream_core::claims::Verdict;
use sequoiastream_core::membership::MemberState;
use sequoiastream_core::name::Name;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;

use crate::ops::control::claims::Claim;
use crate::ops::control::claims::Look;
use crate::ops::control::claims::Report;
use crate::ops::dispatch::Dispatch;
use crate::util::clock;

/// How long an owner may be silent before it is asked whether it runs.
const PING_INTERVAL: Duration = Duration::from_millis(250);

/// How long an instance that runs may take to say so.
const PING_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for an answer to travel.
const NETWORK_MARGIN: Duration = Duration::from_millis(200);

/// How long an owner may take to say what is known of a claim, or to take a report.
const OWNER_TIMEOUT: Duration = Duration::from_secs(4);

impl Dispatch {
    /// Instances to ask about a shard, in turn. Those that leave are not asked; this one comes last if it leaves.
    pub(super) fn ranked_owners(&self, shard: u16) -> Vec<Name> {
        let roster = self.shared.roster();
        let staying = roster.peers.iter().filter(|p| p.state == MemberState::Live);
        let others = staying.map(|p| Candidate {
            name: &p.name,
            heard: p.heard,
        });
        let own = Candidate {
            name: &self.shared.settings.name,
            heard: !self.shared.is_leaving(),
        };
        let candidates = others.chain(once(own));
        self.shared.owners().ranked(candidates, shard, clock::now())
    }

    fn peer_address(&self, name: &Name) -> Option<SocketAddr> {
        let roster = self.shared.roster();
        roster
            .peers
            .iter()
            .find(|p| p.name == *name)
            .map(|p| p.peer_address)
    }

    /// Asks `owner` for a claim.
    pub(super) async fn request_claim(&self, owner: &Name, ask: ClaimRequest) -> EntryEvent {
        let limit = ask.wait + NETWORK_MARGIN;
        if *owner == self.shared.settings.name {
            let answer = tokio::time::timeout(limit, self.control.claims.send(Claim(ask))).await;
            return match answer {
                Ok(Ok(verdict)) => EntryEvent::Answered(verdict),
                _ => EntryEvent::NoAnswer,
            };
        }
        match self.call_owner(owner, Request::Claim(ask), limit).await {
            Some(Response::Verdict(verdict)) => {
                if let Verdict::Unavailable(_) = verdict {
                    // Others may reach the key-value service; for a while they are asked first.
                    self.shared.owners().suspect(owner, clock::now());
                }
                EntryEvent::Answered(verdict)
            }
            _ => EntryEvent::NoAnswer,
        }
    }

    /// Asks what is known of a claim.
    pub(super) async fn query_claim(&self, claim: ClaimRef) -> Verdict {
        for owner in self.ranked_owners(claim.bucket.shard) {
            let verdict = match owner == self.shared.settings.name {
                true => self.control.claims.send(Look(claim)).await.ok(),
                false => match self.call_owner(&owner, Request::Look(claim), OWNER_TIMEOUT).await {
                    Some(Response::Verdict(verdict)) => Some(verdict),
                    _ => None,
                },
            };
            if let Some(verdict) = verdict.filter(|v| *v != Verdict::Stopping) {
                return verdict;
            }
        }
        Verdict::Unavailable(OWNER_TIMEOUT)
    }

    /// Tells the owner what became of a claim; if nobody takes it, the claim stays granted and is told as
    /// unknown.
    pub(super) async fn send_edit(&self, bucket: BucketId, edit: Edit) {
        for owner in self.ranked_owners(bucket.shard) {
            if owner == self.shared.settings.name {
                self.control.claims.do_send(Report(bucket, edit));
                return;
            }
            let request = Request::Edit(bucket, edit.clone());
            if let Some(Response::Taken) = self.call_owner(&owner, request, OWNER_TIMEOUT).await {
                return;
            }
        }
    }

    /// Asks a peer; `None` if it can't be reached or shows no sign of life.
    ///
    /// Failure guarded against: a paused owner holds a caller up until its deadline. A question that takes
    /// long is no sign of a pause, since the key-value service may be slow; a ping that nobody answers is.
    async fn call_owner(&self, owner: &Name, request: Request, limit: Duration) -> Option<Response> {
        let address = self.peer_address(owner)?;
        let call = std::pin::pin!(self.peer_client.call(address, &request, limit));
        let watch = std::pin::pin!(async {
            loop {
                tokio::time::sleep(PING_INTERVAL).await;
                if self
                    .peer_client
                    .call(address, &Request::Ping, PING_TIMEOUT)
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
        let answer = match select(call, watch).await {
            Either::Left((answer, _)) => answer.ok(),
            Either::Right(_) => None,
        };
        let mut owners = self.shared.owners();
        match &answer {
            Some(_) => owners.trust(owner),
            None => owners.suspect(owner, clock::now()),
        }
        answer
    }
}
