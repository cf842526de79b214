//! Client accounts, and the API keys by which callers are known to belong to one.

use std::collections::BTreeMap;

use derives::tag;
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::AccountKey;

/// The SHA-256 digest of an API key.
///
/// Digests stand in for the keys themselves. The time that a look-up takes depends on the
/// digest of what a caller sent, so it tells nothing about how much of a key was guessed
/// correctly.
#[tag]
pub struct ApiKeyDigest([u8; 32]);

impl ApiKeyDigest {
    /// Returns the digest of an API key.
    pub fn of(key: &[u8]) -> ApiKeyDigest {
        ApiKeyDigest(Sha256::digest(key).into())
    }

    /// Returns the number by which a table of `2^n` buckets is indexed.
    fn bucket(self, buckets: usize) -> usize {
        let head = u32::from_le_bytes([self.0[0], self.0[1], self.0[2], self.0[3]]);
        usize::try_from(head).unwrap_or_default() & (buckets - 1)
    }
}

/// The requests that an account may send through all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Requests per second.
    pub rate: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// One client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The account's name, as endpoints are told it.
    pub name: String,
    /// The priority that goes before that of a route, 0 for the most urgent.
    pub priority: Option<u32>,
    /// The quota; none if the account may send any number of requests.
    pub quota: Option<QuotaLimit>,
}

/// Why a set of accounts is rejected.
#[derive(Debug, Error)]
pub enum AccountError {
    /// An API key belongs to two accounts, so its requests can't be told apart.
    #[error("accounts {0} and {1} have the same API key; give each its own")]
    SharedKey(String, String),
    /// Two accounts have the same name.
    #[error("two accounts are named {0}; names must differ")]
    SameName(String),
}

/// All accounts, with a look-up by API key.
///
/// The look-up is a hash table, whose cost doesn't grow with the number of keys: it runs
/// for each request, on hosts with a tenth of a core.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountTable {
    accounts: BTreeMap<AccountKey, Account>,
    /// Entries by bucket; the number of buckets is a power of two.
    buckets: Vec<Vec<(ApiKeyDigest, AccountKey)>>,
}

impl AccountTable {
    /// Returns the table of accounts, each with the digests of its API keys.
    ///
    /// # Errors
    ///
    /// Returns an error if two accounts have the same name or the same API key.
    pub fn new(
        accounts: impl IntoIterator<Item = (Account, Vec<ApiKeyDigest>)>,
    ) -> Result<AccountTable, AccountError> {
        let mut table = AccountTable {
            accounts: BTreeMap::new(),
            buckets: Vec::new(),
        };
        let mut entries = Vec::new();
        for (account, digests) in accounts {
            let key = AccountKey::named(&account.name);
            entries.extend(digests.into_iter().map(|digest| (digest, key)));
            if let Some(other) = table.accounts.insert(key, account) {
                return Err(AccountError::SameName(other.name));
            }
        }
        table.buckets = vec![Vec::new(); entries.len().next_power_of_two()];
        for (digest, key) in entries {
            table.insert(digest, key)?;
        }
        Ok(table)
    }

    fn insert(&mut self, digest: ApiKeyDigest, key: AccountKey) -> Result<(), AccountError> {
        match self.holder(digest) {
            None => {
                let at = digest.bucket(self.buckets.len());
                self.buckets[at].push((digest, key));
                Ok(())
            }
            Some(holder) if holder == key => Ok(()),
            Some(holder) => Err(AccountError::SharedKey(self.name(holder), self.name(key))),
        }
    }

    fn name(&self, key: AccountKey) -> String {
        self.get(key).map(|a| a.name.clone()).unwrap_or_default()
    }

    /// Returns the account that holds the API key with this digest.
    pub fn holder(&self, digest: ApiKeyDigest) -> Option<AccountKey> {
        let bucket = self.buckets.get(digest.bucket(self.buckets.len()))?;
        let found = bucket.iter().find(|(other, _)| *other == digest);
        found.map(|(_, key)| *key)
    }

    /// Returns an account.
    pub fn get(&self, key: AccountKey) -> Option<&Account> {
        self.accounts.get(&key)
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the most entries that a look-up may have to compare.
    pub fn longest_bucket(&self) -> usize {
        self.buckets.iter().map(Vec::len).max().unwrap_or_default()
    }
}
