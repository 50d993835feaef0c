//! Announcements, liveness and leaving.
