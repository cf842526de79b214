//! The configuration in force, folded from the platform's log.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use derives::value;
use serde::{Deserialize, Serialize};

use crate::keys::HostKey;
use crate::preset::{DataCentre, Preset, Service};

/// The configuration that all entry hosts agree on at one revision.
///
/// Two hosts at the same `revision` hold exactly the same value.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Config {
    /// The number of accepted changes; never decreases.
    pub revision: u64,
    /// The log's offset after the record that made this revision. How many further
    /// records without a change a host has folded is part of its follower's progress.
    pub offset: u64,
    /// All accepted presets by name.
    pub presets: BTreeMap<String, Preset>,
    /// The name of the preset in force; none before the first choice.
    pub chosen: Option<String>,
    /// Data centres that operators have taken out, by name.
    pub leaving_centres: BTreeSet<String>,
    /// Entry hosts and backend server hosts (by IP number or name) taken out.
    pub leaving_hosts: BTreeSet<String>,
    /// Members that are shutting down: they finish their running calls, and their roles
    /// pass to others.
    #[serde(default)]
    pub draining: BTreeSet<HostKey>,
    /// The entry hosts that own slots and claims, by key.
    pub members: BTreeMap<HostKey, Member>,
}

/// An entry host that has joined.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// The host's name.
    pub name: String,
    /// A random number drawn at each start of the process, so that a restarted host is a
    /// new member.
    pub incarnation: u64,
    /// The address for connections from peers.
    pub peer: SocketAddr,
    /// The name of the host's data centre.
    pub data_centre: String,
    /// The revision at which the host joined.
    pub joined: u64,
}

impl Config {
    /// Returns the preset in force, if one has been chosen.
    pub fn preset(&self) -> Option<&Preset> {
        self.presets.get(self.chosen.as_ref()?)
    }

    /// Returns the services of the preset in force; empty before the first choice.
    pub fn services(&self) -> &[Service] {
        self.preset().map_or(&[], |preset| &preset.services)
    }

    /// Returns the data centres of the preset in force; empty before the first choice.
    pub fn data_centres(&self) -> &[DataCentre] {
        self.preset().map_or(&[], |preset| &preset.data_centres)
    }

    /// Returns whether operators have taken out this endpoint's data centre or host.
    pub fn is_leaving(&self, centre: &str, address: SocketAddr) -> bool {
        self.leaving_centres.contains(centre)
            || self.leaving_hosts.contains(&address.ip().to_string())
            || self.leaving_hosts.contains(&address.to_string())
    }
}
