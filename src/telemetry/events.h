#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace dandelion::telemetry {

/// Numbered log events. docs/EVENTS.md lists the cause of each and the action
/// that it calls for.
enum class Event {
  kDaemonStarted = 100,
  kDaemonReady = 101,
  kDrainStarted = 102,
  kDrainFinished = 103,
  kDrainTimedOut = 104,
  kStopForced = 105,
  kStartFailed = 106,
  kRequestCut = 107,
  kConnectionsDropped = 108,
  kHandlerFailed = 109,
  kTaskFailed = 110,
  kConfigInstalled = 200,
  kConfigRejected = 201,
  kConfigGap = 202,
  kConfigSnapshot = 203,
  kPlatformUnreachable = 210,
  kPlatformBack = 211,
  kHostEntryRefused = 212,
  kPeerUp = 300,
  kPeerDown = 301,
  kPeerRefused = 302,
  kUpstreamContact = 400,
  kUpstreamLost = 401,
  kUpstreamLeaving = 402,
  kUpstreamCold = 403,
  kUpstreamWarm = 404,
  kRequestDone = 500,
  kRequestFailed = 501,
  kRequestRetried = 502,
  kStreamResumed = 503,
  kGenerationLost = 504,
  kRequestRefused = 505,
  kClaimWon = 600,
  kClaimLost = 601,
  kClaimReleased = 602,
  kClaimUnavailable = 603,
  kStoreLost = 220,
  kStoreBack = 221,
  kStoreGap = 222,
  kStoreReaderStarted = 223,
  kStoreReaderStopped = 224,
  kStoreRecordRefused = 225,
  kPeerMessageMalformed = 303,
  kPeerTraffic = 304,
  kSettingsReloaded = 230,
  kSettingsRefused = 231,
  kReadinessChanged = 232,
  kLoopLagged = 240,
  kAcceptFailed = 241,
  kAcceptResumed = 242,
  kCallerRejected = 243,
  kRequestMemoryRefused = 244,
  kCallerDisplaced = 245,
  kUpstreamListed = 410,
  kUpstreamEjected = 412,
  kUpstreamReadmitted = 413,
  kUpstreamLimited = 416,
  kUpstreamPaused = 417,
  kSelfReportRefused = 418,
  kUpstreamLimitLearned = 419,
  kUpstreamBrittle = 420,
  kDataCentreEvacuated = 414,
  kDataCentreRestored = 415,
  kForwardDone = 510,
  kForwardRefused = 511,
  kForwardRetried = 512,
  kForwardPlaced = 513,
  kForwardTakenWhileStopping = 514,
  kRunCopied = 520,
  kRunMoved = 521,
  kRunLost = 522,
  kRunMoveFailed = 523,
  kRunBroken = 524,
  kStreamTakenUp = 525,
  kStreamOriginsNotWritten = 526,
  kStreamOriginsNotRead = 527,
  kStreamOriginsFull = 528,
  kRolloutOrdered = 540,
  kRolloutDecided = 541,
  kRolloutRecorded = 542,
  kPartSuspected = 530,
  kPartQuarantined = 531,
  kPartCleared = 532,
  kQuarantinesRestored = 533,
  kQuarantinesRecorded = 534,
  kReachLost = 550,
  kReachRegained = 551,
  kHandedOver = 552,
};

/// The severity of an event, lowest first.
enum class Level { kInfo, kWarning, kError };

/// A key and value that are appended to an event's line.
struct Field {
  std::string_view key;
  std::string value;
};

/// Writes the event as one logfmt line to standard output, unless its level is
/// below the minimum. Never blocks: a line that the output does not accept at
/// once, or that is longer than 4 KiB, is dropped and counted.
void Emit(Event event, std::initializer_list<Field> fields = {});

/// Number of lines that `Emit` has dropped since the process started.
uint64_t DroppedLines();

/// The name of `event` in the log.
std::string_view NameOf(Event event);
Level LevelOf(Event event);

/// Sets the minimum level, `kInfo` by default. Events below it are not written.
void SetMinLevel(Level level);

}  // namespace dandelion::telemetry
