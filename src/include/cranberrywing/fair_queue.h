/// \file
/// Weighted max-min fairness between client accounts when a service lacks
/// capacity: deficit round robin queues with deadlines (design 3.8).
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberrywing/concurrency_limit.h"
#include "cranberrywing/settings_snapshot.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

struct QueuedRequest
{
  RequestId mRequest{};
  ServiceId mService;
  AccountId mAccount;
  TimePoint mDeadline{};
};

/// Not thread-safe; owned by the reducer.
class FairQueue
{
public:
  struct Options
  {
    /// Maximum number of requests that may wait per service.
    std::size_t mQueueLimit = 10'000;
    ConcurrencyLimit::Options mConcurrency = {};
    /// Returns the reported mean utilization of a service's servers, or nullopt
    /// without recent reports. May be empty. See BackendHealth::Utilization.
    std::function<std::optional<double>(const ServiceId&, TimePoint)>
      mUtilization = {};
  };

  explicit FairQueue(Options aOptions);

  /// Sets weights and each service's concurrency limit.
  void Apply(const SettingsSnapshot& aSettings);

  /// Queues a request. Returns false if the request must be refused: the queue
  /// is full, the request is already queued, or it cannot complete before its
  /// deadline at the present rate of service.
  bool Push(const QueuedRequest& aRequest, TimePoint aNow);
  /// Removes and returns the next request of the service to run, if its
  /// concurrency limit allows one. The request counts as running until Finish.
  std::optional<QueuedRequest> Pop(const ServiceId& aService, TimePoint aNow);
  /// Ends a running request of the service and account.
  void Finish(const ServiceId& aService,
              const AccountId& aAccount,
              TimePoint aNow);
  /// Removes a waiting request. False if it is not waiting.
  bool Cancel(RequestId aRequest);
  /// Removes and returns waiting requests that can no longer complete in time.
  /// To be called with each tick.
  std::vector<QueuedRequest> TakeExpired(TimePoint aNow);

  std::size_t Waiting(const ServiceId& aService) const;
  std::size_t Running(const ServiceId& aService) const;
  /// Number of client accounts that the service's queue keeps a state of. Idle
  /// ones are dropped once the settings lack them.
  std::size_t AccountCount(const ServiceId& aService) const;
  /// Number of requests of the service that an account of maximum weight may
  /// have running; zero for an unknown service.
  double Level(const ServiceId& aService) const;

private:
  using Slot = std::uint32_t;
  static constexpr Slot kNoSlot = ~Slot{ 0 };

  struct ServiceQueue;

  /// Requests of one client account for one service.
  struct AccountQueue
  {
    Slot mFirst = kNoSlot;
    Slot mLast = kNoSlot;
    std::size_t mWaiting = 0;
    std::size_t mRunning = 0;
    /// Whether requests wait because the account has as many running as the
    /// level allows.
    bool mIsLimited = false;
    /// Requests per round, at most 1; proportional to the account's weight.
    double mQuantum = 1;
    double mDeficit = 0;
    /// Links in the ring of accounts with waiting requests that may run.
    AccountQueue* mPrevious = nullptr;
    AccountQueue* mNext = nullptr;
  };

  struct ServiceQueue
  {
    explicit ServiceQueue(ConcurrencyLimit::Options aOptions)
      : mLimit(aOptions)
    {
    }

    ConcurrencyLimit mLimit;
    std::unordered_map<AccountId, AccountQueue> mAccounts;
    /// Account that is served next; null if no account may run a request.
    AccountQueue* mNextTurn = nullptr;
    std::size_t mWaiting = 0;
    /// Number of accounts with mIsLimited.
    std::size_t mLimitedAccounts = 0;
    /// Sum of the quanta of the accounts with waiting or running requests.
    double mActiveQuanta = 0;
    /// Level for which mIsLimited was last computed for all accounts.
    double mLevel = 0;
  };

  /// A waiting request, linked into its account's queue.
  struct Entry
  {
    QueuedRequest mRequest;
    ServiceQueue* mService = nullptr;
    AccountQueue* mAccount = nullptr;
    Slot mPrevious = kNoSlot;
    Slot mNext = kNoSlot;
  };

  ServiceQueue& FindService(const ServiceId& aService);
  AccountQueue& FindAccount(ServiceQueue& aService, const AccountId& aAccount);
  Slot AllocateSlot();
  void Append(ServiceQueue& aService, AccountQueue& aAccount, Slot aSlot);
  /// Unlinks an entry and frees its slot. UpdateAccount must follow.
  QueuedRequest Remove(Slot aSlot);
  /// Removes a waiting request that will not run, and updates the ring.
  QueuedRequest Drop(Slot aSlot);
  static void Activate(ServiceQueue& aService, AccountQueue& aAccount);
  static void Deactivate(ServiceQueue& aService, AccountQueue& aAccount);
  /// Number of requests of the account that may run concurrently.
  static std::size_t RunLimit(const ServiceQueue& aService,
                              const AccountQueue& aAccount);
  /// Number of requests of the service that may run concurrently.
  static std::size_t RunLimit(const ServiceQueue& aService);
  /// Updates whether the account is in the ring, limited, or neither.
  static void UpdateRing(ServiceQueue& aService, AccountQueue& aAccount);
  /// Updates the ring and tells the concurrency limit whether it keeps a
  /// request from running.
  static void UpdateAccount(ServiceQueue& aService,
                            AccountQueue& aAccount,
                            TimePoint aNow);
  static void UpdateAllAccounts(ServiceQueue& aService, TimePoint aNow);
  static AccountQueue& NextAccount(ServiceQueue& aService);
  static bool CanFinish(const ServiceQueue& aService,
                        const AccountQueue& aAccount,
                        TimePoint aDeadline,
                        TimePoint aNow);
  /// Number of requests scheduled up to and including a new one of the account.
  static std::size_t CountScheduledThrough(const ServiceQueue& aService,
                                           const AccountQueue& aAccount);
  void UpdateUtilization(TimePoint aNow);

  Options mOptions;
  std::unordered_map<ServiceId, ServiceQueue> mServices;
  std::unordered_map<AccountId, double> mQuanta;
  double mDefaultQuantum = 1;
  std::vector<Entry> mEntries;
  std::vector<Slot> mFreeSlots;
  std::unordered_map<RequestId, Slot> mSlots;
  TimePoint mNextUtilizationUpdate{};
  /// Lower bound of the deadlines of all waiting requests.
  TimePoint mEarliestDeadline = TimePoint::max();
};

} // namespace cranberrywing
