//! Folds the records of the `config` stream, in offset order, into the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use derives::value;
use state::Config;

use super::check::parse_preset;
use super::command::{Answer, Command, CommandId, Refusal, Subject};
use super::decide::{Decision, LastChanges, decide};
use super::snapshot::{Floor, Position, RecentCommand, Snapshot, is_newer};

/// Number of commands whose ids and answers are kept.
///
/// A repeat follows within seconds of the first attempt, so that a few hundred would do;
/// but a region that returns makes some three hundred hosts join at once, and a command
/// decided on before these joins must not be refused as too old.
pub const KEPT_COMMANDS: usize = 1_024;

/// One decoded record of the stream.
#[value]
pub enum Record {
    /// A command of an operator or an entry host.
    Command(Command),
    /// The folded state, for hosts whose next record was trimmed from the log.
    Snapshot(Box<Snapshot>),
    /// A reset: the preset with this text is in force, whatever was before.
    Begin(String),
}

/// Why a record can't be decoded.
#[value]
#[derive(thiserror::Error)]
pub enum Unreadable {
    /// The bytes differ from those that were written.
    #[error("the record is damaged")]
    Damaged,
    /// The record was written by a newer version of this program.
    #[error("the record is of version {0}, newer than this program")]
    Newer(u32),
}

/// The outcome of applying a record.
#[value]
pub enum Applied {
    /// A command was decided.
    Decided(CommandId, Answer),
    /// A repeated command; holds the answer to the first one.
    Repeated(CommandId, Answer),
    /// A snapshot replaced the state; reading continues at [`Fold::read_offset`].
    Replaced(Position),
    /// The record had no effect.
    Ignored,
    /// The record can't be decoded and was skipped.
    Skipped(Unreadable),
}

/// The state folded from the stream so far.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    config: Arc<Config>,
    next: u64,
    recent: BTreeMap<u64, RecentCommand>,
    offsets: BTreeMap<CommandId, u64>,
    touched: BTreeMap<Subject, u64>,
    floor: Floor,
    search: Option<SnapshotSearch>,
    skipped_newer: Option<u64>,
}

/// The search for a snapshot, after records were trimmed from the log before they
/// were folded.
#[derive(Clone, Copy, Debug)]
struct SnapshotSearch {
    first: u64,
    at: u64,
}

impl Fold {
    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the position of the fold.
    pub fn position(&self) -> Position {
        Position {
            next: self.next,
            revision: self.config.revision,
        }
    }

    /// Returns the offset to read from.
    pub fn read_offset(&self) -> u64 {
        self.search.map_or(self.next, |s| s.at)
    }

    /// Returns whether records were trimmed from the log before they were folded.
    pub fn is_behind(&self) -> bool {
        self.search.is_some()
    }

    /// Returns the offset of a skipped record that only a newer version can decode.
    pub fn skipped_newer(&self) -> Option<u64> {
        self.skipped_newer
    }

    /// Returns the answer to a recently folded command.
    pub fn answer(&self, id: CommandId) -> Option<&Answer> {
        let offset = self.offsets.get(&id)?;
        self.recent.get(offset).map(|r| &r.answer)
    }

    /// Notes the offset of the first record that the log still has.
    ///
    /// If a host was paused until its next record was trimmed from the log, folding the
    /// later records onto the old state would make it differ from all others. From then
    /// on the host applies nothing but snapshots, until one covers all trimmed records.
    pub fn log_trimmed(&mut self, first: u64) {
        let lost = match self.search {
            Some(search) => first > search.first,
            None => first > self.next,
        };
        if lost {
            let at = self.read_offset().max(first);
            self.search = Some(SnapshotSearch { first, at });
        }
    }

    /// Applies the record at `offset`, which has to be [`Fold::read_offset`].
    ///
    /// Records at other offsets have no effect: once a snapshot is applied, the rest of
    /// the page lies after the snapshot's end and is read again.
    pub fn apply(&mut self, offset: u64, record: Result<Record, Unreadable>) -> Applied {
        if offset != self.read_offset() {
            return Applied::Ignored;
        }
        if let Some(search) = &mut self.search {
            search.at = offset + 1;
            return self.apply_searching(offset, record);
        }
        self.next = offset + 1;
        match record {
            Ok(Record::Command(command)) => self.command(offset, &command),
            Ok(Record::Snapshot(snapshot)) if self.covers_gap(&snapshot) => self.replace(*snapshot),
            Ok(Record::Snapshot(_)) => Applied::Ignored,
            Ok(Record::Begin(text)) => self.begin(offset, &text),
            Err(Unreadable::Newer(version)) => {
                self.skipped_newer = Some(offset);
                Applied::Skipped(Unreadable::Newer(version))
            }
            Err(Unreadable::Damaged) => Applied::Skipped(Unreadable::Damaged),
        }
    }

    /// Applies a snapshot of a peer if it is newer, and returns whether it was.
    pub fn take_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let wanted = is_newer(self.position(), snapshot.position()) || self.covers_gap(&snapshot);
        if wanted {
            self.replace(snapshot);
        }
        wanted
    }

    /// Returns the whole state, or `None` after skipping a record that newer versions can
    /// decode.
    ///
    /// A snapshot without the skipped record would carry the gap over to hosts that have
    /// none.
    pub fn snapshot(&self) -> Option<Snapshot> {
        self.skipped_newer.is_none().then(|| Snapshot {
            next: self.next,
            config: Config::clone(&self.config),
            recent: self.recent.values().cloned().collect(),
            touched: self.touched.iter().map(|(s, r)| (s.clone(), *r)).collect(),
            floor: self.floor,
        })
    }

    /// Resets the state, for a site whose hosts were all down for longer than the log
    /// retains records, so that no host is left that could write a snapshot.
    ///
    /// The result depends on nothing but the record and its offset, so that a host that
    /// was merely paused ends in the same state as new ones. A revision is never greater
    /// than the offset after its record: the new revision is greater than any before, and
    /// never decreases on any host.
    fn begin(&mut self, offset: u64, text: &str) -> Applied {
        let Ok(preset) = parse_preset(text) else {
            return Applied::Ignored;
        };
        let next = offset + 1;
        let config = Config {
            revision: next,
            offset: next,
            chosen: Some(preset.name.clone()),
            presets: BTreeMap::from([(preset.name.clone(), preset)]),
            ..Config::default()
        };
        self.replace(Snapshot {
            next,
            config,
            recent: Vec::new(),
            touched: Vec::new(),
            floor: Floor {
                offset: next,
                revision: next,
            },
        })
    }

    fn apply_searching(&mut self, offset: u64, record: Result<Record, Unreadable>) -> Applied {
        let first = self.search.map_or(0, |s| s.first);
        match record {
            Ok(Record::Snapshot(s))
                if s.next >= first && is_newer(self.position(), s.position()) =>
            {
                self.replace(*s)
            }
            Ok(Record::Begin(text)) => self.begin(offset, &text),
            Ok(Record::Command(_) | Record::Snapshot(_)) => Applied::Ignored,
            Err(unreadable) => Applied::Skipped(unreadable),
        }
    }

    /// Returns whether a snapshot covers the skipped record without lowering the revision
    /// that this host has already shown.
    fn covers_gap(&self, snapshot: &Snapshot) -> bool {
        match self.skipped_newer {
            Some(skipped) => {
                snapshot.next > skipped && snapshot.config.revision >= self.config.revision
            }
            None => false,
        }
    }

    fn replace(&mut self, snapshot: Snapshot) -> Applied {
        let position = snapshot.position();
        let recent = snapshot.recent.into_iter();
        *self = Fold {
            config: Arc::new(snapshot.config),
            next: snapshot.next,
            recent: recent.map(|r| (r.offset, r)).collect(),
            offsets: BTreeMap::new(),
            touched: snapshot.touched.into_iter().collect(),
            floor: snapshot.floor,
            search: None,
            skipped_newer: None,
        };
        self.offsets = self.recent.iter().map(|(o, r)| (r.id, *o)).collect();
        Applied::Replaced(position)
    }

    fn command(&mut self, offset: u64, command: &Command) -> Applied {
        let id = command.id;
        if let Some(answer) = self.answer(id) {
            return Applied::Repeated(id, answer.clone());
        }
        let answer = match self.decide_command(offset, command) {
            Ok(revision) => Answer::Accepted { revision },
            Err(refusal) => Answer::Refused { refusal },
        };
        self.store_answer(offset, id, answer.clone());
        Applied::Decided(id, answer)
    }

    fn decide_command(&mut self, offset: u64, command: &Command) -> Result<u64, Refusal> {
        let revision = self.config.revision;
        match command {
            c if c.id.author_offset() > offset => {
                return Err(Refusal::Future(c.id.author_offset()));
            }
            c if c.decided_on > revision => return Err(Refusal::Future(c.decided_on)),
            c if c.id.author_offset() < self.floor.offset => return Err(Refusal::TooOld),
            c if c.decided_on < self.floor.revision => return Err(Refusal::TooOld),
            _ => {}
        }
        let changes = LastChanges {
            revisions: &self.touched,
            floor: self.floor.revision,
            decided_on: command.decided_on,
        };
        let config = Arc::make_mut(&mut self.config);
        match decide(config, &changes, &command.change)? {
            Decision::Unchanged(since) => Ok(since),
            Decision::Changed(subject) => {
                config.revision = revision + 1;
                config.offset = offset + 1;
                self.touched.insert(subject, revision + 1);
                Ok(revision + 1)
            }
        }
    }

    /// Keeps the answer, and drops the oldest one when there are more than
    /// [`KEPT_COMMANDS`].
    ///
    /// Without a bound the state would grow with every command ever issued. Dropping an
    /// answer raises the floor, so that a late repeat is refused and never runs a second
    /// time.
    fn store_answer(&mut self, offset: u64, id: CommandId, answer: Answer) {
        let revision = self.config.revision;
        let recent = RecentCommand {
            offset,
            id,
            revision,
            answer,
        };
        self.offsets.insert(id, offset);
        self.recent.insert(offset, recent);
        if self.recent.len() <= KEPT_COMMANDS {
            return;
        }
        if let Some((offset, oldest)) = self.recent.pop_first() {
            self.offsets.remove(&oldest.id);
            self.floor = Floor {
                offset: offset + 1,
                revision: oldest.revision,
            };
            self.touched.retain(|_, r| *r > oldest.revision);
        }
    }
}
