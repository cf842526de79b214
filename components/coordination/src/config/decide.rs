//! Decides one command against the configuration, with conflict checks for concurrent
//! operators.
//!
//! Two commands conflict only where the author of one would have decided differently
//! after seeing the other: over the same subject, and where a preset's text is changed
//! while the preset is put into force. A choice of preset doesn't conflict with the
//! joining of a host; otherwise frequent joins at a busy site would get operators'
//! commands refused.

use std::collections::{BTreeMap, BTreeSet};

use state::config::Member;
use state::{Config, HostKey, Preset};

use super::check::parse_preset;
use super::command::{Change, Refusal, Subject};

/// The effect of an accepted command.
pub(super) enum Decision {
    /// The configuration was changed in this subject.
    Changed(Subject),
    /// The configuration already was as requested, since this revision.
    Unchanged(u64),
}

/// The revision at which each subject was last changed, for the conflict check.
pub(super) struct LastChanges<'a> {
    pub revisions: &'a BTreeMap<Subject, u64>,
    /// No subject missing from `revisions` was changed after this revision.
    pub floor: u64,
    /// The revision on which the author based the command.
    pub decided_on: u64,
}

impl LastChanges<'_> {
    fn revision_of(&self, subject: &Subject) -> u64 {
        self.revisions.get(subject).copied().unwrap_or(self.floor)
    }

    fn check(&self, subject: Subject) -> Result<(), Refusal> {
        match self.revision_of(&subject) {
            revision if revision > self.decided_on => Err(Refusal::Conflict { subject, revision }),
            _ => Ok(()),
        }
    }
}

/// Decides `change` and applies it to `config`, except for the revision.
pub(super) fn decide(
    config: &mut Config,
    changes: &LastChanges,
    change: &Change,
) -> Result<Decision, Refusal> {
    match change {
        Change::PutPreset { text } => put_preset(config, changes, text),
        Change::ChoosePreset { name } => choose_preset(config, changes, name),
        Change::LeaveCentre { name } => set_centre_leaving(config, changes, name, true),
        Change::ReturnCentre { name } => set_centre_leaving(config, changes, name, false),
        Change::LeaveHost { name } => set_host_leaving(config, changes, name, true),
        Change::ReturnHost { name } => set_host_leaving(config, changes, name, false),
        Change::Join {
            name,
            incarnation,
            peer,
            data_centre,
        } => {
            let member = Member {
                name: name.clone(),
                incarnation: *incarnation,
                peer: *peer,
                data_centre: data_centre.clone(),
                joined: config.revision + 1,
            };
            join(config, changes, member)
        }
        Change::Drain { host, incarnation } => drain(config, changes, *host, *incarnation),
        Change::Remove { host, incarnation } => remove(config, changes, *host, *incarnation),
    }
}

fn put_preset(config: &mut Config, changes: &LastChanges, text: &str) -> Result<Decision, Refusal> {
    let preset = parse_preset(text).map_err(|errors| Refusal::Faulty(errors.to_string()))?;
    let subject = Subject::Preset(preset.name.clone());
    if config.presets.get(&preset.name) == Some(&preset) {
        return Ok(Decision::Unchanged(changes.revision_of(&subject)));
    }
    changes.check(subject.clone())?;
    // The author changed a preset that was not in force at that revision. Without this
    // check, the change would affect callers at once, which no operator decided.
    if config.chosen.as_ref() == Some(&preset.name) {
        changes.check(Subject::Choice)?;
    }
    config.presets.insert(preset.name.clone(), preset);
    Ok(Decision::Changed(subject))
}

fn choose_preset(
    config: &mut Config,
    changes: &LastChanges,
    name: &str,
) -> Result<Decision, Refusal> {
    if config.chosen.as_deref() == Some(name) {
        return Ok(Decision::Unchanged(changes.revision_of(&Subject::Choice)));
    }
    if !config.presets.contains_key(name) {
        return Err(Refusal::UnknownPreset(name.to_owned()));
    }
    changes.check(Subject::Choice)?;
    changes.check(Subject::Preset(name.to_owned()))?;
    config.chosen = Some(name.to_owned());
    Ok(Decision::Changed(Subject::Choice))
}

fn set_centre_leaving(
    config: &mut Config,
    changes: &LastChanges,
    name: &str,
    leave: bool,
) -> Result<Decision, Refusal> {
    if !config.leaving_centres.contains(name) && !has_centre(config, name) {
        return Err(Refusal::UnknownCentre(name.to_owned()));
    }
    let subject = Subject::Centre(name.to_owned());
    set_leaving(&mut config.leaving_centres, changes, subject, name, leave)
}

fn set_host_leaving(
    config: &mut Config,
    changes: &LastChanges,
    name: &str,
    leave: bool,
) -> Result<Decision, Refusal> {
    if !config.leaving_hosts.contains(name) && !has_host(config, name) {
        return Err(Refusal::UnknownHost(name.to_owned()));
    }
    let subject = Subject::Host(name.to_owned());
    set_leaving(&mut config.leaving_hosts, changes, subject, name, leave)
}

/// Adds a name to the set of leaving ones, or removes it.
fn set_leaving(
    leaving: &mut BTreeSet<String>,
    changes: &LastChanges,
    subject: Subject,
    name: &str,
    leave: bool,
) -> Result<Decision, Refusal> {
    if leaving.contains(name) == leave {
        return Ok(Decision::Unchanged(changes.revision_of(&subject)));
    }
    changes.check(subject.clone())?;
    match leave {
        true => leaving.insert(name.to_owned()),
        false => leaving.remove(name),
    };
    Ok(Decision::Changed(subject))
}

/// Decides a join.
///
/// Checks that the author of the join has seen the last change of the member: otherwise a
/// process that was removed while paused would return through a join sent before its
/// removal.
fn join(config: &mut Config, changes: &LastChanges, member: Member) -> Result<Decision, Refusal> {
    let key = HostKey::named(&member.name);
    let subject = Subject::Member(key);
    match config.members.get(&key) {
        Some(present) if present.name != member.name => {
            return Err(Refusal::SameKey(member.name));
        }
        Some(present) if present.incarnation == member.incarnation => {
            return Ok(Decision::Unchanged(present.joined));
        }
        _ => changes.check(subject.clone())?,
    }
    config.draining.remove(&key);
    config.members.insert(key, member);
    Ok(Decision::Changed(subject))
}

/// Decides a drain, which makes a member transfer its roles.
///
/// If a host left without a drain, the slots of its endpoints would stay unused until the
/// next owner could be sure that none of them is still leased. Callers would see refused
/// requests at each restart of an entry host.
fn drain(
    config: &mut Config,
    changes: &LastChanges,
    host: HostKey,
    incarnation: u64,
) -> Result<Decision, Refusal> {
    let subject = Subject::Member(host);
    match config.members.get(&host) {
        Some(member) if member.incarnation == incarnation => {}
        _ => return Err(Refusal::UnknownMember),
    }
    if config.draining.contains(&host) {
        return Ok(Decision::Unchanged(changes.revision_of(&subject)));
    }
    changes.check(subject.clone())?;
    config.draining.insert(host);
    Ok(Decision::Changed(subject))
}

/// Decides a removal.
///
/// The command names the incarnation, so that a restarted host is not removed because its
/// previous process was silent.
fn remove(
    config: &mut Config,
    changes: &LastChanges,
    host: HostKey,
    incarnation: u64,
) -> Result<Decision, Refusal> {
    let subject = Subject::Member(host);
    match config.members.get(&host) {
        Some(member) if member.incarnation == incarnation => changes.check(subject.clone())?,
        _ => return Err(Refusal::UnknownMember),
    }
    config.members.remove(&host);
    config.draining.remove(&host);
    Ok(Decision::Changed(subject))
}

fn has_centre(config: &Config, name: &str) -> bool {
    let named = |preset: &Preset| preset.data_centres.iter().any(|c| c.name == name);
    config.presets.values().any(named)
}

fn has_host(config: &Config, name: &str) -> bool {
    let on_host = |address: std::net::SocketAddr| {
        address.to_string() == name || address.ip().to_string() == name
    };
    let mut endpoints = config
        .presets
        .values()
        .flat_map(|p| &p.services)
        .flat_map(|s| &s.endpoints);
    config.members.values().any(|m| m.name == name) || endpoints.any(|e| on_host(e.address))
}
