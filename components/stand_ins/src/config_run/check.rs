//! Checks a run's history against the records of its log.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use coordination::config::{Answer, Applied, Change, Command, CommandId, Fold, Record, Refusal};
use derives::value;
use protocol::config_record::decode_record;
use state::Config;
use transport::log::{CommandRequest, Outcome};

use super::History;
use super::operators::IssuedCommand;

/// A violation of a guarantee in a run.
#[value]
pub enum Violation {
    /// A host showed a lower revision than before.
    Reverted {
        /// The host.
        host: usize,
        /// The revision that the host had shown before.
        from: u64,
        /// The lower revision that the host showed afterwards.
        to: u64,
    },
    /// A host showed a configuration that differs from the log's at the same revision.
    Differs {
        /// The host.
        host: usize,
        /// The revision.
        revision: u64,
    },
    /// The preset in force is not the last one chosen, or there is one before the first choice.
    NoPreset {
        /// The revision.
        revision: u64,
    },
    /// A choice was accepted whose operator had not seen the choice before it.
    LostChoice {
        /// The revision of the choice that was overwritten.
        revision: u64,
    },
    /// A command was decided twice under the same id.
    Repeated {
        /// The id.
        id: CommandId,
    },
    /// An operator got an answer that contradicts the log.
    Untrue {
        /// The command.
        request: Box<CommandRequest>,
        /// The answer that the operator got.
        outcome: Outcome,
    },
    /// The outcome of a command stayed unknown to its operator.
    Unsettled {
        /// The command's id.
        id: CommandId,
    },
    /// A host doesn't have the last revision in force although all faults are over.
    Behind {
        /// The host.
        host: usize,
        /// The revision in force at the host.
        revision: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// The state of the log, folded once from the first record.
struct LogTruth {
    configs: BTreeMap<u64, Arc<Config>>,
    answers: BTreeMap<CommandId, Answer>,
    texts: BTreeSet<String>,
    incarnations: BTreeSet<u64>,
    repeated: Vec<CommandId>,
    choices: Vec<Choice>,
}

/// An accepted choice of a preset.
struct Choice {
    revision: u64,
    decided_on: u64,
    name: String,
}

/// Returns every violation in the run.
pub fn check(history: &History) -> Vec<Violation> {
    let truth = LogTruth::of(&history.records);
    let mut violations = Vec::new();
    violations.extend(reverts(history));
    violations.extend(differences(history, &truth));
    violations.extend(truth.missing_presets());
    violations.extend(truth.lost_choices());
    violations.extend(
        truth
            .repeated
            .iter()
            .map(|id| Violation::Repeated { id: *id }),
    );
    violations.extend(history.issued.iter().flat_map(|c| truth.wrong_answers(c)));
    violations.extend(left_behind(history, &truth));
    violations
}

fn reverts(history: &History) -> Vec<Violation> {
    let mut last: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for observation in &history.observations {
        let to = observation.config.revision;
        let from = last
            .insert((observation.host, observation.restarts), to)
            .unwrap_or(0);
        if to < from {
            let host = observation.host;
            violations.push(Violation::Reverted { host, from, to });
        }
    }
    violations
}

fn differences(history: &History, truth: &LogTruth) -> Vec<Violation> {
    let differs = |config: &Arc<Config>| truth.configs.get(&config.revision) != Some(config);
    let differing = history.observations.iter().filter(|s| differs(&s.config));
    differing
        .map(|s| Violation::Differs {
            host: s.host,
            revision: s.config.revision,
        })
        .collect()
}

fn left_behind(history: &History, truth: &LogTruth) -> Vec<Violation> {
    let end = truth.configs.keys().next_back().copied().unwrap_or(0);
    let last = history.final_revisions.iter().copied().enumerate();
    last.filter(|(_, revision)| *revision != end)
        .map(|(host, revision)| Violation::Behind { host, revision })
        .collect()
}

impl LogTruth {
    fn of(records: &[bytes::Bytes]) -> LogTruth {
        let mut fold = Fold::default();
        let mut truth = LogTruth {
            configs: BTreeMap::from([(0, Arc::clone(fold.config()))]),
            answers: BTreeMap::new(),
            texts: BTreeSet::new(),
            incarnations: BTreeSet::new(),
            repeated: Vec::new(),
            choices: Vec::new(),
        };
        for (offset, data) in (0..).zip(records) {
            let record = decode_record(data);
            let command = match &record {
                Ok(Record::Command(command)) => Some(command.clone()),
                _ => None,
            };
            let before = fold.position().revision;
            let step = fold.apply(offset, record);
            truth
                .configs
                .insert(fold.position().revision, Arc::clone(fold.config()));
            if let (Some(command), Applied::Decided(id, answer)) = (command, step) {
                truth.record_decision(id, answer);
                let changed = fold.position().revision > before;
                truth.record_change(command, changed.then_some(fold.position().revision));
            }
        }
        truth
    }

    /// Records a decision. A command that was dropped from the recent commands may be decided
    /// once more, but only as too old.
    fn record_decision(&mut self, id: CommandId, answer: Answer) {
        let refusal = Refusal::TooOld;
        match self.answers.entry(id) {
            Entry::Vacant(entry) => {
                entry.insert(answer);
            }
            Entry::Occupied(_) if answer == Answer::Refused { refusal } => {}
            Entry::Occupied(_) => self.repeated.push(id),
        }
    }

    fn record_change(&mut self, command: Command, changed: Option<u64>) {
        match (command.change, changed) {
            (Change::PutPreset { text }, _) => {
                self.texts.insert(text);
            }
            (Change::Join { incarnation, .. }, _) => {
                self.incarnations.insert(incarnation);
            }
            (Change::ChoosePreset { name }, Some(revision)) => self.choices.push(Choice {
                revision,
                decided_on: command.decided_on,
                name,
            }),
            _ => {}
        }
    }

    /// Derives from the accepted choices alone which preset must be in force, and returns the
    /// revisions with another one.
    fn missing_presets(&self) -> Vec<Violation> {
        let wanted = |revision: u64| {
            let before = self.choices.iter().take_while(|c| c.revision <= revision);
            before.last().map(|c| &c.name)
        };
        let holds = |config: &Config| match wanted(config.revision) {
            Some(name) => config.preset().is_some_and(|p| &p.name == name),
            None => config.chosen.is_none(),
        };
        let wrong = self.configs.values().filter(|c| !holds(c));
        wrong
            .map(|c| Violation::NoPreset {
                revision: c.revision,
            })
            .collect()
    }

    fn lost_choices(&self) -> Vec<Violation> {
        let pairs = self.choices.windows(2);
        let lost = pairs.filter(|pair| pair[1].decided_on < pair[0].revision);
        lost.map(|pair| Violation::LostChoice {
            revision: pair[0].revision,
        })
        .collect()
    }

    fn wrong_answers(&self, command: &IssuedCommand) -> Vec<Violation> {
        let mut ids = command.outcomes.iter().filter_map(|o| match o {
            Outcome::Unknown { id } => Some(*id),
            _ => None,
        });
        let id = command.request.id.or(ids.next());
        let mut violations: Vec<Violation> = command
            .outcomes
            .iter()
            .filter(|o| !self.is_true(&command.request, id, o))
            .map(|o| Violation::Untrue {
                request: Box::new(command.request.clone()),
                outcome: o.clone(),
            })
            .collect();
        if let Some(Outcome::Unknown { id }) = command.outcomes.last() {
            violations.push(Violation::Unsettled { id: *id });
        }
        violations
    }

    fn is_true(&self, request: &CommandRequest, id: Option<CommandId>, outcome: &Outcome) -> bool {
        let answer = id.and_then(|id| self.answers.get(&id));
        match (outcome, answer) {
            (Outcome::Unknown { .. }, _) => true,
            (Outcome::Accepted { revision }, Some(Answer::Accepted { revision: r })) => {
                revision == r
            }
            (Outcome::Accepted { revision }, None) if id.is_none() => {
                self.was_in_force(&request.change, *revision)
            }
            (Outcome::Accepted { .. }, _) => false,
            (Outcome::Refused { .. }, answer) => !matches!(answer, Some(Answer::Accepted { .. })),
            (Outcome::Unreachable { .. }, _) => {
                answer.is_none() && !self.is_on_log(&request.change)
            }
        }
    }

    /// Returns whether the effect of a change was in force at `revision`.
    fn was_in_force(&self, change: &Change, revision: u64) -> bool {
        let Some(config) = self.configs.get(&revision) else {
            return false;
        };
        match change {
            Change::PutPreset { text } => {
                let preset = coordination::config::parse_preset(text).ok();
                preset.is_some_and(|p| config.presets.get(&p.name) == Some(&p))
            }
            Change::ChoosePreset { name } => config.chosen.as_ref() == Some(name),
            Change::LeaveCentre { name } => config.leaving_centres.contains(name),
            Change::ReturnCentre { name } => !config.leaving_centres.contains(name),
            Change::LeaveHost { name } => config.leaving_hosts.contains(name),
            Change::ReturnHost { name } => !config.leaving_hosts.contains(name),
            Change::Join {
                name, incarnation, ..
            } => config
                .members
                .values()
                .any(|m| m.name == *name && m.incarnation == *incarnation),
            Change::Drain { host, .. } => config.draining.contains(host),
            Change::Remove { host, .. } => !config.members.contains_key(host),
        }
    }

    /// Returns whether a put or a join, each of which is unique, is on the log.
    fn is_on_log(&self, change: &Change) -> bool {
        match change {
            Change::PutPreset { text } => self.texts.contains(text),
            Change::Join { incarnation, .. } => self.incarnations.contains(incarnation),
            _ => false,
        }
    }
}
