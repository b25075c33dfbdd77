//! Requests for changes and pages of the store from peers that have read it further than this instance.

use std::net::SocketAddr;
use std::time::Duration;

use sequoiastream_core::log_event;
use sequoiastream_core::membership::Peer;
use sequoiastream_core::name::Name;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::watchers::most_advanced;
use sequoiastream_core::time::Time;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;
use sequoiastream_peer::message::StoreChanges;
use sequoiastream_peer::message::StorePage;

use crate::log_event;
use crate::ops::relay::peers::Fleet;
use crate::util::clock;

/// Timeout of a request for a page: eight peers may share the answering peer's link at the same time.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// A peer's answer with parts of the store that are not known here.
#[derive(Debug)]
pub struct PeerAnswer {
    /// The peer's address.
    pub peer: SocketAddr,
    /// When the request was sent. The age in the answer is counted from then, so that it includes the time until the
    /// answer is applied: a second or more over a slow link or if large values are read from the store.
    pub asked: Time,
    /// The data that the peer sent.
    pub parts: StoreParts,
}

/// Parts of the store that a peer sent.
#[derive(Debug)]
pub enum StoreParts {
    /// The first page of the whole store.
    FirstPage(StorePage),
    /// The changes since the known revision.
    Changes(StoreChanges),
}

impl Fleet {
    /// Selects a peer that has read the store beyond `revision`: one of those with the highest revision in this zone.
    /// If there is none and `other_zones` is set, one of those with the highest revision in the other zones.
    fn most_advanced_peer(&self, revision: Revision, other_zones: bool) -> Option<(Name, SocketAddr)> {
        let roster = self.0.members.borrow().roster(clock::now());
        let revisions = self.0.peer_revisions.borrow();
        let zone = &self.0.shared.options.zone;
        let heard = |same_zone: bool| -> Vec<&Peer> {
            let peers = roster.peers.iter().filter(|p| p.heard);
            peers.filter(|p| (p.zone == *zone) == same_zone).collect()
        };
        let known = |peer: &&Peer| revisions.get(&peer.name).copied().unwrap_or_default();
        let choose = |peers: Vec<&Peer>| {
            let known: Vec<Revision> = peers.iter().map(known).collect();
            let asked = peers[most_advanced(&known, revision, rand::random::<u32>() as usize)?];
            Some((asked.name.clone(), asked.peer_address))
        };
        choose(heard(true)).or_else(|| choose(heard(false)).filter(|_| other_zones))
    }

    /// Whether any peer has reported to have read the store beyond `revision`.
    pub fn is_overtaken(&self, revision: Revision) -> bool {
        self.0
            .peer_revisions
            .borrow()
            .values()
            .any(|known| *known > revision)
    }

    /// Asks a peer that is ahead for everything after `revision`; `None` if no peer is ahead or it did not answer with
    /// anything new within `timeout`. Peers of other zones are asked only if `other_zones` is set.
    pub async fn ask_for_changes(
        &self,
        revision: Revision,
        other_zones: bool,
        timeout: Duration,
    ) -> Option<PeerAnswer> {
        let (name, peer) = self.most_advanced_peer(revision, other_zones)?;
        let (request, timeout) = match revision.is_zero() {
            true => (Request::Page(String::new()), PAGE_TIMEOUT),
            false => (Request::Since(revision), timeout),
        };
        let asked = clock::now();
        let parts = match self.0.calls.call(peer, &request, timeout).await {
            Ok(Response::Changes(changes)) if changes.revision > revision => {
                Some(StoreParts::Changes(changes))
            }
            Ok(Response::Page(page)) if page.revision > revision => Some(StoreParts::FirstPage(page)),
            Ok(_) => None,
            Err(error) => {
                log_event!(debug, log_event::PEER_FAILED, to = %peer, %error, call = "since");
                None
            }
        };
        if parts.is_none() {
            // Its next message about load sets the revision again, if the peer can still be reached.
            self.0.peer_revisions.borrow_mut().remove(&name);
        }
        parts.map(|parts| PeerAnswer { peer, asked, parts })
    }

    /// Asks a peer for the first page of the store; `None` if it could not be fetched.
    pub async fn ask_first_page(&self, peer: SocketAddr) -> Option<StorePage> {
        self.ask_page(peer, String::new()).await
    }

    /// Appends all following pages to the first one; `None` if a page could not be fetched. The pages are not a
    /// snapshot: the result has the revision of the first page, and later changes are requested from there.
    pub async fn ask_remaining(&self, peer: SocketAddr, first: StorePage) -> Option<StorePage> {
        let mut all = first;
        while all.more {
            let after = all.items.last().map(|item| item.key.clone())?;
            let next = self.ask_page(peer, after).await?;
            all.more = next.more && !next.items.is_empty();
            all.items.extend(next.items);
        }
        Some(all)
    }

    async fn ask_page(&self, peer: SocketAddr, after: String) -> Option<StorePage> {
        match self.0.calls.call(peer, &Request::Page(after), PAGE_TIMEOUT).await {
            Ok(Response::Page(page)) => Some(page),
            Ok(_) => None,
            Err(error) => {
                log_event!(debug, log_event::PEER_FAILED, to = %peer, %error, call = "page");
                None
            }
        }
    }
}
