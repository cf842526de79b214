//! What an endpoint's owner knows of the slots that are out.

use std::time::Duration;

use derives::{tag, value};
use state::{EndpointKey, HostKey, Moment};

use super::message::{Estate, EstateLease, LeaseKey, SlotKey};
use super::terms::{FENCE, TERM};

/// The leases of one endpoint's slots, at its owner.
///
/// The owner counts each term from the moment it *receives* a renewal, the
/// holder from the moment it *sent* it, so the owner's view of a lease ends
/// last whatever the delay. A slot is leased anew only after that.
#[value]
pub struct Ledger {
    endpoint: EndpointKey,
    slots: Vec<Slip>,
    fence: Moment,
}

/// One slot's entry.
#[tag]
enum Slip {
    /// Nobody can hold it, once the fence is over.
    Free,
    /// It is leased.
    Out {
        lease: LeaseKey,
        holder: HostKey,
        until: Moment,
    },
}

/// What an owner says to a renewal.
#[tag]
pub enum Renewal {
    /// The lease goes on for a term.
    Kept,
    /// The lease is over.
    Ended,
    /// It can't be said yet.
    Pending,
}

/// A lease that is out.
#[tag]
pub struct Out {
    /// The lease.
    pub lease: LeaseKey,
    /// Who holds it, as far as the owner has heard.
    pub holder: HostKey,
}

impl Ledger {
    /// Returns the ledger of a new owner that knows nothing of what is out.
    pub fn fenced(endpoint: EndpointKey, slots: u32, now: Moment) -> Ledger {
        Ledger {
            endpoint,
            slots: vec![Slip::Free; slots as usize],
            fence: now + FENCE,
        }
    }

    /// Returns the ledger as the earlier owner left it.
    ///
    /// Its remaining times are counted from the receipt: later than at the
    /// giver, so no lease ends here before it ends there.
    pub fn inherited(estate: &Estate, slots: u32, now: Moment) -> Ledger {
        let mut ledger = Ledger {
            endpoint: estate.endpoint,
            slots: vec![Slip::Free; slots as usize],
            fence: now + estate.fence.min(FENCE),
        };
        for entry in &estate.leases {
            ledger.note(entry.lease, entry.holder, now + entry.left.min(TERM));
        }
        ledger
    }

    /// Returns what the next owner has to know.
    pub fn estate(&self, cap: u32, revision: u64, now: Moment) -> Estate {
        let leases = self.slots.iter().filter_map(|slip| match *slip {
            Slip::Out {
                lease,
                holder,
                until,
            } if until > now => Some(EstateLease {
                lease,
                holder,
                left: now.until(until),
            }),
            _ => None,
        });
        Estate {
            endpoint: self.endpoint,
            revision,
            fence: now.until(self.fence),
            cap,
            leases: leases.collect(),
        }
    }

    /// Changes the number of slots; leases above it end by themselves.
    pub fn resize(&mut self, slots: u32) {
        while self.slots.len() > slots as usize {
            match self.slots.last() {
                Some(Slip::Free) => self.slots.pop(),
                _ => return,
            };
        }
        self.slots.resize(slots as usize, Slip::Free);
    }

    /// Returns whether slots may be leased: what was out before is known or over.
    pub fn is_open(&self, now: Moment) -> bool {
        self.fence <= now
    }

    /// Returns whether nothing was ever leased or adopted here.
    pub fn is_virgin(&self, now: Moment) -> bool {
        !self.is_open(now) && self.out() == 0
    }

    /// Returns how many slots are out.
    pub fn out(&self) -> u32 {
        self.leases().count() as u32
    }

    /// Returns the leases that are out.
    pub fn leases(&self) -> impl Iterator<Item = Out> {
        self.slots.iter().filter_map(|slip| match *slip {
            Slip::Out { lease, holder, .. } => Some(Out { lease, holder }),
            Slip::Free => None,
        })
    }

    /// Frees the slots whose leases have ended and returns those leases.
    pub fn expire(&mut self, now: Moment) -> Vec<Out> {
        let mut ended = Vec::new();
        for slip in &mut self.slots {
            match *slip {
                Slip::Out {
                    lease,
                    holder,
                    until,
                } if until <= now => {
                    ended.push(Out { lease, holder });
                    *slip = Slip::Free;
                }
                _ => {}
            }
        }
        ended
    }

    /// Leases a free slot under `serial`, where one is free and the fence is over.
    pub fn grant(&mut self, holder: HostKey, serial: u64, now: Moment) -> Option<LeaseKey> {
        if !self.is_open(now) {
            return None;
        }
        let number = self.slots.iter().position(|s| *s == Slip::Free)?;
        let lease = LeaseKey {
            slot: SlotKey {
                endpoint: self.endpoint,
                number: number as u32,
            },
            serial,
            hop: 0,
        };
        self.slots[number] = Slip::Out {
            lease,
            holder,
            until: now + TERM,
        };
        Some(lease)
    }

    /// Renews a lease for whoever shows its latest hop.
    ///
    /// Behind the fence an unknown lease is adopted: a live holder reports it,
    /// and this owner has leased nothing yet that could clash with it. Not
    /// before the earlier owner has surely stopped, though: it might still
    /// lease the same slot to another host.
    pub fn renew(&mut self, lease: LeaseKey, holder: HostKey, now: Moment) -> Renewal {
        let waits = self.fence_left(now) > TERM;
        let open = self.is_open(now);
        let Some(slip) = self.slots.get(lease.slot.number as usize) else {
            return Renewal::Ended;
        };
        match *slip {
            Slip::Free if open => return Renewal::Ended,
            Slip::Free if waits => return Renewal::Pending,
            Slip::Out { until, .. } if until <= now => return Renewal::Ended,
            Slip::Out { lease: known, .. }
                if known.serial != lease.serial || known.hop > lease.hop =>
            {
                return Renewal::Ended;
            }
            _ => {}
        }
        self.note(lease, holder, now + TERM);
        Renewal::Kept
    }

    /// Frees a slot that its holder gives back; returns whether it was that lease.
    pub fn give_back(&mut self, lease: LeaseKey) -> bool {
        let Some(slip) = self.slots.get_mut(lease.slot.number as usize) else {
            return false;
        };
        match *slip {
            Slip::Out { lease: known, .. }
                if known.serial == lease.serial && known.hop <= lease.hop =>
            {
                *slip = Slip::Free;
                true
            }
            _ => false,
        }
    }

    /// Returns the time left until the fence is over.
    pub fn fence_left(&self, now: Moment) -> Duration {
        now.until(self.fence)
    }

    fn note(&mut self, lease: LeaseKey, holder: HostKey, until: Moment) {
        if let Some(slip) = self.slots.get_mut(lease.slot.number as usize) {
            *slip = Slip::Out {
                lease,
                holder,
                until,
            };
        }
    }
}
