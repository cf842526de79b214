//! The configuration in force, as folded from the platform's log.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use derives::value;
use serde::{Deserialize, Serialize};

use crate::keys::HostKey;
use crate::preset::{DataCentre, Preset, Service};

/// What every entry host agrees on at one revision.
///
/// Two hosts with the same `revision` hold the same value to the letter.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Config {
    /// Counts the accepted changes; it only ever grows.
    pub revision: u64,
    /// The log's offset after the record that made this revision. How far a
    /// host has folded beyond it, without a change, is in its follower's progress.
    pub offset: u64,
    /// All accepted presets by name.
    pub presets: BTreeMap<String, Preset>,
    /// The name of the preset in force, none before the first choice.
    pub chosen: Option<String>,
    /// Data centres that operators have taken out, by name.
    pub leaving_centres: BTreeSet<String>,
    /// Entry hosts and backend server hosts (by IP number or name) taken out.
    pub leaving_hosts: BTreeSet<String>,
    /// Members that are shutting down: they serve their calls to the end, and
    /// their roles go to others.
    #[serde(default)]
    pub draining: BTreeSet<HostKey>,
    /// The entry hosts that own slots and claims, by key.
    pub members: BTreeMap<HostKey, Member>,
}

/// One entry host that has joined.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Drawn anew each time the process starts, so that a restarted host is a new member.
    pub incarnation: u64,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: String,
    /// The revision at which it joined.
    pub joined: u64,
}

impl Config {
    /// Returns the preset in force, where one has been chosen.
    pub fn preset(&self) -> Option<&Preset> {
        self.presets.get(self.chosen.as_ref()?)
    }

    /// Returns the services of the preset in force, none before the first choice.
    pub fn services(&self) -> &[Service] {
        self.preset().map_or(&[], |preset| &preset.services)
    }

    /// Returns the data centres of the preset in force, none before the first choice.
    pub fn data_centres(&self) -> &[DataCentre] {
        self.preset().map_or(&[], |preset| &preset.data_centres)
    }

    /// Returns whether operators have taken this endpoint's data centre or host out.
    pub fn is_leaving(&self, centre: &str, address: SocketAddr) -> bool {
        self.leaving_centres.contains(centre)
            || self.leaving_hosts.contains(&address.ip().to_string())
            || self.leaving_hosts.contains(&address.to_string())
    }
}
