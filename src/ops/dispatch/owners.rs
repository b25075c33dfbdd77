//! Calls to the owners of claims.

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

use crate::ops::control::claims::EditClaim;
use crate::ops::control::claims::QueryClaim;
use crate::ops::control::claims::RequestClaim;
use crate::ops::dispatch::Dispatch;
use crate::util::clock;

/// Interval at which an owner that has not answered yet is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time that a running instance takes to answer a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(250);

/// Time allowed for the network, added to the time that the owner may take.
const NETWORK_MARGIN: Duration = Duration::from_millis(200);

/// Time limit for an owner to answer a query for a claim or to accept an edit; also the retry delay if no owner answers
/// a query.
const OWNER_TIMEOUT: Duration = Duration::from_secs(4);

/// How long the release of a claim is retried at an instance that was asked for the claim and does not answer.
const RELEASE_RETRY_LIMIT: Duration = Duration::from_secs(30);

/// Pause between these attempts.
const RELEASE_RETRY_PAUSE: Duration = Duration::from_secs(1);

impl Dispatch {
    /// Instances to ask about a shard, in order. Other instances that are leaving are left out; this one comes last if
    /// it is leaving.
    pub(super) fn ranked_owners(&self, shard: u16) -> Vec<Name> {
        let roster = self.shared.roster();
        let live = roster.peers.iter().filter(|p| p.state == MemberState::Live);
        let others = live.map(|p| Candidate {
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

    /// Requests a claim from `owner`, which may be this instance.
    pub(super) async fn request_claim(&self, owner: &Name, request: ClaimRequest) -> EntryEvent {
        let limit = request.wait + NETWORK_MARGIN;
        if *owner == self.shared.settings.name {
            let answer = tokio::time::timeout(limit, self.control.claims.send(RequestClaim(request))).await;
            return match answer {
                Ok(Ok(verdict)) => EntryEvent::Answered(verdict),
                _ => EntryEvent::NoAnswer,
            };
        }
        match self.call_owner(owner, Request::Claim(request), limit).await {
            Some(Response::Verdict(verdict)) => {
                if let Verdict::Unavailable(_) = verdict {
                    // Other instances may still reach the key-value service, so they are asked first for a while.
                    self.shared.owners().suspect(owner, clock::now());
                }
                EntryEvent::Answered(verdict)
            }
            _ => EntryEvent::NoAnswer,
        }
    }

    /// Queries the status of a claim from its owners in order, until one answers that is not stopping.
    pub(super) async fn query_claim(&self, claim: ClaimRef) -> Verdict {
        for owner in self.ranked_owners(claim.bucket.shard) {
            let verdict = match owner == self.shared.settings.name {
                true => self.control.claims.send(QueryClaim(claim)).await.ok(),
                false => match self
                    .call_owner(&owner, Request::Lookup(claim), OWNER_TIMEOUT)
                    .await
                {
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

    /// Sends the change of a claim to its owner and returns the instance that accepted it. If none does, the claim
    /// stays granted, and its status is reported as unknown.
    pub(super) async fn send_edit(&self, bucket: BucketId, edit: &Edit) -> Option<Name> {
        for owner in self.ranked_owners(bucket.shard) {
            if self.try_edit(&owner, bucket, edit).await {
                return Some(owner);
            }
        }
        None
    }

    /// Sends the change of a claim to this owner until it accepts it, is no longer listed, or
    /// [`RELEASE_RETRY_LIMIT`] has passed.
    ///
    /// Guards against a claim that is never released: an instance that did not answer the claim request stores the
    /// claim after another instance accepted its release. The request was refused as not run, but its repeats would be
    /// refused because the key is in use. The instance frees the claim in whichever order it receives the claim request
    /// and the release.
    pub(super) async fn retry_edit(&self, owner: &Name, bucket: BucketId, edit: &Edit) {
        let end = clock::now() + RELEASE_RETRY_LIMIT;
        while !self.try_edit(owner, bucket, edit).await {
            if self.peer_address(owner).is_none() || clock::now() >= end {
                return;
            }
            tokio::time::sleep(RELEASE_RETRY_PAUSE).await;
        }
    }

    /// Sends the change of a claim to this owner once; returns whether it accepted it.
    async fn try_edit(&self, owner: &Name, bucket: BucketId, edit: &Edit) -> bool {
        if *owner == self.shared.settings.name {
            self.control.claims.do_send(EditClaim(bucket, edit.clone()));
            return true;
        }
        let request = Request::Edit(bucket, edit.clone());
        let answer = self.call_owner(owner, request, OWNER_TIMEOUT).await;
        matches!(answer, Some(Response::Accepted))
    }

    /// Calls a peer; returns `None` if it is unreachable or stops answering pings.
    ///
    /// Failure guarded against: a paused owner delays a caller until its deadline. A call that takes long doesn't
    /// indicate a pause, since the key-value service may be slow; an unanswered ping does.
    async fn call_owner(&self, owner: &Name, request: Request, limit: Duration) -> Option<Response> {
        let address = self.peer_address(owner)?;
        let call = std::pin::pin!(self.peer_client.call(address, &request, limit));
        let ping = std::pin::pin!(async {
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
        let answer = match select(call, ping).await {
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
