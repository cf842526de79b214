//! Tells neighbours how far this host knows the store's topics, so that those who lack records
//! request them.

use std::net::SocketAddr;

use protocol::neighbour::{Hello, NeighbourMessage, Position, Topic};
use rand::seq::SliceRandom;

use super::Gateway;
use crate::clock;

/// Number of neighbours that a greeting tells how far this host knows the topics.
///
/// A host hears the positions of as many others in a second, so that it hears soon of records
/// that it lacks.
const POSITION_TARGETS: usize = 8;

impl Gateway {
    /// Tells all neighbours how far this host knows the topics.
    ///
    /// Those that lack records request them, and no longer wait for the outcome of this
    /// host's read.
    pub(super) fn announce_positions(&self) {
        self.broadcast(&self.hello_with_positions());
    }

    /// Greets all neighbours, and tells some of them how far this host knows the topics.
    ///
    /// With positions in every greeting, traffic would grow with the number of hosts.
    pub(super) fn greet_neighbours(&self) {
        let mut neighbours = self.neighbours.borrow_mut().current(clock::now());
        let told = POSITION_TARGETS.min(neighbours.len());
        let (some, others) = neighbours.partial_shuffle(&mut *self.random.borrow_mut(), told);
        self.send_to_all(some, &self.hello_with_positions());
        self.send_to_all(others, &self.hello(false));
    }

    /// Returns a greeting that tells how far this host knows the topics.
    fn hello_with_positions(&self) -> NeighbourMessage {
        let positions = [Topic::Operators, Topic::Endpoints].map(|topic| {
            self.with_schedule(topic, |schedule| {
                let (next, age) = (schedule.next()?, schedule.age(clock::now())?);
                Some(Position { topic, next, age })
            })
        });
        NeighbourMessage::Hello(Hello {
            positions: positions.into_iter().flatten().collect(),
            ..self.greeting(false)
        })
    }

    /// Handles how far a neighbour knows a topic, and requests what this host lacks.
    pub(super) fn handle_position(&self, from: SocketAddr, position: Position) {
        let Position { topic, next, age } = position;
        let now = clock::now();
        let Some(read_at) = now.checked_sub(age) else {
            return;
        };
        let draw = self.random_fraction();
        let is_behind = self.with_schedule(topic, |schedule| {
            schedule.position_received(next, read_at, draw, now)
        });
        if !is_behind {
            return;
        }
        self.schedule_changed.notify_waiters();
        let known = self.with_schedule(topic, |schedule| schedule.next());
        let Some(known) = known.filter(|_| !self.is_receiving(topic, next)) else {
            return;
        };
        if self.with_schedule(topic, |schedule| schedule.take_request(now)) {
            self.send(from, &NeighbourMessage::RecordsRequest(topic, known));
        }
    }
}
