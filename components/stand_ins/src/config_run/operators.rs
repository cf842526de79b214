//! Operators who concurrently put and choose presets and let data centres and hosts leave and
//! return.

use std::sync::Mutex;
use std::time::Duration;

use coordination::config::{Change, CommandId};
use derives::value;
use rand::Rng;
use rand::rngs::StdRng;
use state::{Config, HostKey};
use transport::log::{CommandRequest, Outcome};

use super::hosts::Hosts;
use super::lock;

const PRESETS: [&str; 3] = ["ordinary", "peak", "maintenance"];
const CENTRES: [&str; 3] = ["trent", "severn", "soar"];
const MEMBERS: [&str; 3] = ["trent-1", "severn-1", "soar-1"];

/// How long an operator waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// How often an operator retries a command with an unknown outcome after the faults are over.
const MAX_RETRIES: usize = 100;

/// A command and the answers that its operator got.
#[value]
pub struct IssuedCommand {
    /// The command, with its id if the operator drew one.
    pub request: CommandRequest,
    /// The answers, in order; more than one if the command was retried.
    pub outcomes: Vec<Outcome>,
}

/// Submits `count` commands, one after the other, each through a random host.
pub(super) fn issue(
    hosts: &Hosts,
    operator: usize,
    count: usize,
    mut rng: StdRng,
    issued: &Mutex<Vec<IssuedCommand>>,
) {
    let mut seen_revision = 0;
    for number in 0..count {
        let host = rng.random_range(0..hosts.count());
        let fold = hosts.follower(host).fold();
        let position = fold.position();
        let named = rng.random_bool(0.5);
        let stale = rng.random_bool(0.3) && seen_revision > 0;
        let request = CommandRequest {
            id: named.then(|| CommandId::new(position.next, rng.random())),
            decided_on: match (stale, named) {
                (true, _) => Some(seen_revision),
                (false, true) => Some(position.revision),
                (false, false) => None,
            },
            change: change(operator * 10_000 + number, fold.config(), &mut rng),
        };
        let outcome = hosts.submission(host, ANSWER_TIMEOUT).submit(&request);
        seen_revision = position.revision;
        lock(issued).push(IssuedCommand {
            request,
            outcomes: vec![outcome],
        });
    }
}

/// Retries every command with an unknown outcome.
pub(super) fn retry_unknown(hosts: &Hosts, mut issued: Vec<IssuedCommand>) -> Vec<IssuedCommand> {
    for command in &mut issued {
        for n in 0..MAX_RETRIES {
            let Some(Outcome::Unknown { id }) = command.outcomes.last() else {
                break;
            };
            let request = CommandRequest {
                id: Some(*id),
                ..command.request.clone()
            };
            let host = n % hosts.count();
            command
                .outcomes
                .push(hosts.submission(host, ANSWER_TIMEOUT).submit(&request));
        }
    }
    issued
}

/// Draws a change; `unique` makes each put and each join differ from all others.
fn change(unique: usize, config: &Config, rng: &mut StdRng) -> Change {
    let which = rng.random_range(0..3);
    let centre = CENTRES[which].to_owned();
    let member = MEMBERS[which].to_owned();
    match rng.random_range(0..10) {
        0..=2 => Change::PutPreset {
            text: preset(PRESETS[which], unique),
        },
        3..=5 => Change::ChoosePreset {
            name: PRESETS[which].to_owned(),
        },
        6 => Change::LeaveCentre { name: centre },
        7 => Change::ReturnCentre { name: centre },
        8 => Change::Join {
            name: member,
            incarnation: unique as u64,
            peer: ([127, 0, 0, 1], 9_000).into(),
            data_centre: centre,
        },
        _ => {
            let host = HostKey::named(&member);
            let incarnation = config.members.get(&host).map_or(0, |m| m.incarnation);
            Change::Remove { host, incarnation }
        }
    }
}

/// Returns the text of a small preset with `unique` as its queue limit.
fn preset(name: &str, unique: usize) -> String {
    let centres: String = CENTRES
        .iter()
        .map(|c| format!("[[data-centre]]\nname = \"{c}\"\nregion = \"midlands\"\n"))
        .collect();
    format!(
        "name = \"{name}\"\n{centres}[[service]]\nname = \"hallboard\"\nqueue = {unique}\n\
         endpoints = [{{ address = \"127.1.1.1:7101\", data-centre = \"trent\" }}]\n"
    )
}
