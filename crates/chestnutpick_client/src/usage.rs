//! Memory that the unfinished responses of each peer take.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use chestnutpick_types::size;

/// Bytes that the unfinished responses of each peer take.
#[derive(Debug, Clone, Default)]
pub(crate) struct Usage(rc::Rc<cell::RefCell<collections::HashMap<net::SocketAddr, u64>>>);

impl Usage {
    /// Returns the share of a new response.
    pub(crate) fn share(&self, peer: net::SocketAddr, limit: Option<size::Bytes>) -> Share {
        Share { usage: self.clone(), peer, limit, len: 0 }
    }
}

/// Part of a peer's usage that belongs to one response; released when it is dropped.
#[derive(Debug)]
pub(crate) struct Share {
    usage: Usage,
    peer: net::SocketAddr,
    /// Maximum usage of all responses of the peer.
    limit: Option<size::Bytes>,
    len: u64,
}

impl Share {
    /// Returns the peer's address.
    pub(crate) fn peer(&self) -> net::SocketAddr {
        self.peer
    }

    /// Changes the length of the response. Returns whether all responses of the peer stay within its limit.
    pub(crate) fn resize(&mut self, len: size::Bytes) -> bool {
        let mut peers = self.usage.0.borrow_mut();
        let used = peers.entry(self.peer).or_default();
        *used = *used - self.len + len.0;
        self.len = len.0;
        self.limit.is_none_or(|limit| *used <= limit.0)
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut peers = self.usage.0.borrow_mut();
        if let collections::hash_map::Entry::Occupied(mut used) = peers.entry(self.peer) {
            *used.get_mut() -= self.len;
            if *used.get() == 0 {
                used.remove();
            }
        }
    }
}
