//! Folds the records of the `config` stream, in offset order.

use std::collections::BTreeMap;
use std::sync::Arc;

use derives::value;
use state::Config;

use super::check::parse_preset;
use super::command::{Answer, Command, CommandId, Refusal, Subject};
use super::decide::{Decision, Touched, decide};
use super::snapshot::{Floor, Position, RecentCommand, Snapshot, is_newer};

/// Commands whose ids and answers are kept.
///
/// A repeat comes within seconds of the first, so that a few hundred would do;
/// but a region that comes back brings some three hundred joins at once, and a
/// command decided on before them must not be too old.
pub const KEPT_COMMANDS: usize = 1_024;

/// One record of the stream, decoded.
#[value]
pub enum Record {
    /// A command of an operator or an entry host.
    Command(Command),
    /// The state folded so far, for those who can't read so far back any more.
    Snapshot(Box<Snapshot>),
    /// A new beginning with this preset in force, whatever was before.
    Begin(String),
}

/// Why a record can't be read.
#[value]
#[derive(thiserror::Error)]
pub enum Unreadable {
    /// Its bytes are not those that were written.
    #[error("the record is damaged")]
    Damaged,
    /// It was written by a newer version of this program.
    #[error("the record is of version {0}, newer than this program")]
    Newer(u32),
}

/// What a record came to.
#[value]
pub enum Applied {
    /// A command was decided now.
    Decided(CommandId, Answer),
    /// A command was a repeat, and has the answer of the first.
    Repeated(CommandId, Answer),
    /// A snapshot was taken over; reading goes on at [`Fold::read_offset`].
    Replaced(Position),
    /// The record changes nothing here.
    Ignored,
    /// The record was skipped.
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

/// Looks for a snapshot, since records that were not folded have fallen off.
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

    /// Returns how far the fold has come.
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

    /// Returns whether records have fallen off that were never folded.
    pub fn is_behind(&self) -> bool {
        self.search.is_some()
    }

    /// Returns the offset of a record that was skipped since only a newer version reads it.
    pub fn skipped_newer(&self) -> Option<u64> {
        self.skipped_newer
    }

    /// Returns the answer to a command that has been folded lately.
    pub fn answer(&self, id: CommandId) -> Option<&Answer> {
        let offset = self.offsets.get(&id)?;
        self.recent.get(offset).map(|r| &r.answer)
    }

    /// Tells the fold which record the log still has first.
    ///
    /// A host that was paused while its next record fell off would fold the
    /// rest onto an old state and differ from all others. From now on it reads
    /// nothing but snapshots, until one reaches into what the log still has.
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

    /// Folds the record at `offset`, which has to be the one at [`Fold::read_offset`].
    ///
    /// Any other changes nothing: after a snapshot was taken over, what a page
    /// still holds lies ahead of the snapshot's own end and is read again.
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

    /// Takes a snapshot from a peer, where it is newer. Returns whether it was.
    pub fn take_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let wanted = is_newer(self.position(), snapshot.position()) || self.covers_gap(&snapshot);
        if wanted {
            self.replace(snapshot);
        }
        wanted
    }

    /// Returns the whole state, unless a record was skipped that others can read.
    ///
    /// The snapshot of such a host would spread its gap to those that have none.
    pub fn snapshot(&self) -> Option<Snapshot> {
        self.skipped_newer.is_none().then(|| Snapshot {
            next: self.next,
            config: Config::clone(&self.config),
            recent: self.recent.values().cloned().collect(),
            touched: self.touched.iter().map(|(s, r)| (s.clone(), *r)).collect(),
            floor: self.floor,
        })
    }

    /// Begins anew, for a site whose hosts were all gone for longer than the
    /// log keeps records: nobody is left who could write a snapshot.
    ///
    /// What comes of it depends on nothing but the record and its offset, so
    /// that a host that had been paused all the while ends where the new ones
    /// are. A revision is never greater than the offset after it: this one is
    /// greater than any before, and no host goes back.
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

    /// Returns whether a snapshot covers the record that was skipped, without
    /// taking back what this host has shown.
    fn covers_gap(&self, snapshot: &Snapshot) -> bool {
        match self.skipped_newer {
            Some(skipped) => {
                snapshot.next > skipped && snapshot.config.revision >= self.config.revision
            }
            None => false,
        }
    }

    fn replace(&mut self, snapshot: Snapshot) -> Applied {
        let mark = snapshot.position();
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
        Applied::Replaced(mark)
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
        let touched = Touched {
            revisions: &self.touched,
            floor: self.floor.revision,
            decided_on: command.decided_on,
        };
        let config = Arc::make_mut(&mut self.config);
        match decide(config, &touched, &command.change)? {
            Decision::Already(since) => Ok(since),
            Decision::Changed(subject) => {
                config.revision = revision + 1;
                config.offset = offset + 1;
                self.touched.insert(subject, revision + 1);
                Ok(revision + 1)
            }
        }
    }

    /// Keeps the answer, and forgets the oldest one over [`KEPT_COMMANDS`].
    ///
    /// Without a bound the state would grow with every command ever given.
    /// What is forgotten raises the floor, so that a late repeat is refused
    /// and never runs a second time.
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
