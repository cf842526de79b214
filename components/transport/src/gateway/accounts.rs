//! Tells which client account a request belongs to.

use std::time::Duration;

use hyper::HeaderMap;
use protocol::neighbour::Topic;
use state::AccountKey;
use state::accounts::ApiKeyDigest;
use state::routing::Route;

use super::Gateway;
use super::denial::Denial;

/// The account that a request belongs to, as known when the request arrived.
#[derive(Debug, Default)]
pub(super) struct Caller {
    /// The account and the API key that named it; none for a request without an account.
    holder: Option<(AccountKey, ApiKeyDigest)>,
    /// The account's name, as endpoints are told it.
    pub name: Option<String>,
    /// The account's priority, which goes before the route's.
    pub priority: Option<u32>,
}

impl Caller {
    /// Returns the account, if the request has one.
    pub fn account(&self) -> Option<AccountKey> {
        self.holder.map(|(account, _)| account)
    }
}

impl Gateway {
    /// Returns the account of a request, from its API key alone.
    ///
    /// A request on a public route needs no API key, and belongs to an account if its key
    /// is one of that account's.
    ///
    /// # Errors
    ///
    /// Returns an error if the request needs an API key and has none that is valid.
    pub(super) fn identify(&self, headers: &HeaderMap, route: &Route) -> Result<Caller, Denial> {
        let config = self.config.borrow();
        let catalogue = config.catalogue.as_ref();
        let Some(accounts) = catalogue.and_then(|c| c.accounts.as_ref()) else {
            return Ok(Caller::default());
        };
        let digest = match platform::headers::api_key(headers) {
            Ok(digest) => digest,
            Err(_) if route.public => return Ok(Caller::default()),
            Err(error) => return Err(Denial::ApiKey(error)),
        };
        let found = accounts.holder(digest);
        let found = found.and_then(|key| Some((key, accounts.get(key)?)));
        let Some((key, account)) = found else {
            return match route.public {
                true => Ok(Caller::default()),
                false => Err(self.reject_unknown(Denial::UnknownKey)),
            };
        };
        if !route.public && self.are_keys_outdated() {
            return Err(Denial::KeysOutdated);
        }
        Ok(Caller {
            holder: Some((key, digest)),
            name: Some(account.name.clone()),
            priority: account.priority,
        })
    }

    /// Returns whether the account still holds the API key that the request came with.
    ///
    /// A request may wait for seconds before it is sent to an endpoint; operators expect
    /// that a revoked key runs nothing soon after they have revoked it.
    pub(super) fn is_authorized(&self, caller: &Caller) -> bool {
        let Some((account, digest)) = caller.holder else {
            return true;
        };
        let config = self.config.borrow();
        let accounts = config.catalogue.as_ref().and_then(|c| c.accounts.as_ref());
        accounts.and_then(|a| a.holder(digest)) == Some(account)
    }

    /// Returns the answer to a request whose route or API key this host doesn't know.
    ///
    /// Guards against a final answer from a configuration that may be outdated: callers don't
    /// retry a 404 or a 401, and another host may know better.
    pub(super) fn reject_unknown(&self, denial: Denial) -> Denial {
        let limit = self.live.borrow().bounds.configuration;
        match limit {
            Some(limit) if self.is_older(Topic::Operators, limit) => Denial::ConfigOutdated,
            _ => denial,
        }
    }

    /// Returns whether API keys may have been revoked without this host having heard of it.
    ///
    /// Operators choose what a host does that can't tell whether the store has newer ones: go on
    /// with the keys it knows, or serve none.
    fn are_keys_outdated(&self) -> bool {
        let live = self.live.borrow();
        let limit = live.bounds.revocation.filter(|_| live.bounds.fail_closed);
        limit.is_some_and(|limit| self.is_older(Topic::Operators, limit))
    }

    /// Returns whether the store may have held records of a topic that this host lacks for
    /// longer than `limit`.
    fn is_older(&self, topic: Topic, limit: Duration) -> bool {
        self.age(topic).is_none_or(|age| age > limit)
    }
}
